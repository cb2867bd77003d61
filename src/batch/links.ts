import { connect, createServer, type Server, type Socket } from 'node:net';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { BaseError, messageOf } from '../errors/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { decodeBody, encodeFrame, readFrames } from '../peers/framing.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';

/** Largest frame in bytes; above the largest job with all its steps. */
const MAX_FRAME_BYTES = 1_048_576;
/** Wait for a connection before a call on it fails. */
const CONNECT_TIMEOUT_MS = 500;
/** A connection on which a call had no answer, and nothing else came for so long, is closed. */
const SILENT_AFTER_MS = 400;
/** Inbound connections, at most; above the number of nodes of the largest deployment. */
const MAX_INBOUND = 1_200;

/** Codes of {@link LinkError}. */
export enum LinkErrorCode {
  /** The call was not sent. */
  NotSent = 'not_sent',
  /** The call was sent and no answer came in time. */
  NoAnswer = 'no_answer',
  TooLarge = 'too_large',
}

/** A call to another node failed. */
export class LinkError extends BaseError<LinkErrorCode> {}

interface RequestFrame {
  call: number;
  body: unknown;
}

/** Calls between nodes. */
export interface NodeTransport {
  /** `IP:port` under which other nodes reach this one. */
  readonly address: string;
  /** Answers the calls of other nodes until the life cycle is closed. */
  listen(answer: (body: unknown) => Promise<unknown>, lifecycle: Lifecycle): Promise<void>;
  /**
   * Calls a node and waits for its answer.
   *
   * @param address - `IP:port` of the node
   * @param body - what to ask
   * @param timeoutMs - wait for the answer
   */
  call(address: string, body: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>>;
}

/** Needs of {@link Links}. */
export interface LinksDeps {
  /** Listener for other nodes. */
  host: string;
  port: number;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

/** Calls to other nodes, one TCP connection for each. Frames carry CBOR. */
export class Links implements NodeTransport {
  readonly #deps: LinksDeps;
  readonly #connections = new Map<string, Connection>();

  constructor(deps: LinksDeps) {
    this.#deps = deps;
  }

  get address(): string {
    return `${this.#deps.host}:${this.#deps.port}`;
  }

  async listen(answer: (body: unknown) => Promise<unknown>, lifecycle: Lifecycle): Promise<void> {
    lifecycle.own('links', () => {
      this.#close();
    });
    await listenForLinks({ ...this.#deps, answer }, lifecycle);
  }

  async call(
    address: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, LinkError>> {
    let connection = this.#connections.get(address);
    if (!connection || connection.isClosed) {
      connection = new Connection(address, this.#deps);
      this.#connections.set(address, connection);
    }
    const res = await connection.call(body, timeoutMs);
    if (res.isErr) {
      this.#deps.counters.count('link_failures', res.error.code);
      // A channel can go silent for good; the next call opens a new one.
      const isSilent = connection.silentMs > SILENT_AFTER_MS;
      if (res.error.code === LinkErrorCode.NoAnswer && isSilent) connection.close('silent');
    }
    return res;
  }

  #close(): void {
    for (const connection of this.#connections.values()) connection.close('closing');
    this.#connections.clear();
  }
}

class Connection {
  readonly #address: string;
  readonly #deps: LinksDeps;
  readonly #socket: Socket;
  readonly #waiting = new Map<number, (res: Result<unknown, LinkError>) => void>();
  #lastCall = 0;
  #receivedAt: number;
  isClosed = false;

  constructor(address: string, deps: LinksDeps) {
    this.#address = address;
    this.#deps = deps;
    this.#receivedAt = deps.clock.now();
    const [host = '', port = ''] = address.split(':');
    this.#socket = connect({ host, port: Number(port), noDelay: true });
    this.#socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (this.#socket.connecting) this.close('connect timed out');
    });
    this.#socket.once('error', (err) => {
      this.close(err.message);
    });
    void this.#read();
  }

  async #read(): Promise<void> {
    try {
      for await (const frame of readFrames(this.#socket, () => MAX_FRAME_BYTES)) {
        this.#receivedAt = this.#deps.clock.now();
        const decoded = decodeBody(frame);
        if (decoded.isErr) break;
        const { call, body } = decoded.value as RequestFrame;
        this.#settle(call, Result.ok(body));
      }
      this.close('closed by the other node');
    } catch (err) {
      this.close(messageOf(err));
    }
  }

  /** Milliseconds since something was received. */
  get silentMs(): number {
    return this.#deps.clock.now() - this.#receivedAt;
  }

  #settle(call: number, res: Result<unknown, LinkError>): void {
    const resolve = this.#waiting.get(call);
    this.#waiting.delete(call);
    resolve?.(res);
  }

  async call(body: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>> {
    if (this.isClosed) return Result.err(this.#error(LinkErrorCode.NotSent, 'link is closed'));
    const call = ++this.#lastCall;
    const frame = encodeFrame({ call, body } satisfies RequestFrame, MAX_FRAME_BYTES);
    if (frame.isErr) return Result.err(this.#error(LinkErrorCode.TooLarge, frame.error.message));
    const wait = new AbortController();
    const answer = new Promise<Result<unknown, LinkError>>((resolve) => {
      this.#waiting.set(call, resolve);
    });
    this.#socket.write(frame.value);
    void this.#deps.clock.sleep(timeoutMs, wait.signal).then((isOver) => {
      if (!isOver) return;
      this.#settle(call, Result.err(this.#error(LinkErrorCode.NoAnswer, `${timeoutMs} ms passed`)));
    });
    const res = await answer;
    wait.abort();
    return res;
  }

  #error(code: LinkErrorCode, text: string): LinkError {
    return new LinkError(code, `call to ${this.#address}: ${text}`);
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const wasConnecting = this.#socket.connecting;
    this.#deps.log.info('link_closed', { address: this.#address, reason });
    this.#socket.destroy();
    const code = wasConnecting ? LinkErrorCode.NotSent : LinkErrorCode.NoAnswer;
    for (const call of [...this.#waiting.keys()]) {
      this.#settle(call, Result.err(this.#error(code, reason)));
    }
  }
}

interface LinkListenerOptions {
  host: string;
  port: number;
  log: DecisionLog;
  /** Answers one call; must not reject. */
  answer: (body: unknown) => Promise<unknown>;
}

async function listenForLinks(options: LinkListenerOptions, lifecycle: Lifecycle): Promise<Server> {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true, keepAlive: true }, (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.once('error', () => socket.destroy());
    void serveConnection(socket, options);
  });
  server.maxConnections = MAX_INBOUND;
  lifecycle.own('link listener', async () => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return server;
}

async function serveConnection(
  socket: Socket,
  { answer, log }: LinkListenerOptions,
): Promise<void> {
  try {
    for await (const frame of readFrames(socket, () => MAX_FRAME_BYTES)) {
      const decoded = decodeBody(frame);
      if (decoded.isErr) break;
      const { call, body } = decoded.value as RequestFrame;
      void reply(socket, call, answer(body));
    }
  } catch (err) {
    log.warn('link_failed', { peer: socket.remoteAddress, error: messageOf(err) });
  }
  socket.destroy();
}

async function reply(socket: Socket, call: number, answer: Promise<unknown>): Promise<void> {
  const frame = encodeFrame({ call, body: await answer }, MAX_FRAME_BYTES);
  if (frame.isOk && socket.writable) socket.write(frame.value);
}
