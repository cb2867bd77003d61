import { connect, createServer, type Server, type Socket } from 'node:net';
import { Result } from 'true-myth';
import { pendingInputHandled, type Clock } from '../clock/index.js';
import { BaseError, messageOf } from '../errors/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { decodeBody, encodeFrame, readFrames } from '../peers/framing.js';
import { isSocketAddress } from '../validation/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';

/** Maximum frame size; larger than any job with all its steps. */
const MAX_FRAME_BYTES = 1_048_576;
/** Timeout for establishing a connection; pending calls fail after it. */
const CONNECT_TIMEOUT_MS = 500;
/** A connection is closed if a call times out and no data was received for longer than this. */
const SILENCE_LIMIT_MS = 400;
/** Maximum number of inbound connections; above the node count of the largest deployment. */
const MAX_INBOUND_CONNECTIONS = 1_200;

/** Codes of {@link LinkError}. */
export enum LinkErrorCode {
  /** The call was not sent. */
  NotSent = 'not_sent',
  /** The call was sent, but no answer was received in time. */
  NoAnswer = 'no_answer',
  TooLarge = 'too_large',
}

/** Failure of a call to another node. */
export class LinkError extends BaseError<LinkErrorCode> {}

interface RequestFrame {
  call: number;
  body: unknown;
}

/** Request-response calls between nodes. */
export interface NodeTransport {
  /** `IP:port` at which other nodes reach this one. */
  readonly address: string;
  /** Answers calls from other nodes until the lifecycle is closed. */
  listen(answer: (body: unknown) => Promise<unknown>, lifecycle: Lifecycle): Promise<void>;
  /**
   * Calls a node and waits for its answer.
   *
   * @param address - `IP:port` of the node
   * @param body - the request; must be encodable as CBOR
   * @param timeoutMs - maximum time to wait for the answer, in milliseconds
   */
  call(address: string, body: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>>;
}

/** Dependencies of {@link Links}. */
export interface LinksDeps {
  /** Address of the listener for other nodes. */
  host: string;
  port: number;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

/** Node transport over one TCP connection per called node. Frames contain CBOR. */
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
    // Addresses come from rows; connecting to one that is malformed throws.
    if (!isSocketAddress(address)) {
      this.#deps.counters.count('link_failures', 'bad_address');
      return Result.err(new LinkError(LinkErrorCode.NotSent, `${address} is no address of a node`));
    }
    let connection = this.#connections.get(address);
    if (!connection || connection.isClosed) {
      connection = new Connection(address, this.#deps);
      this.#connections.set(address, connection);
    }
    const res = await connection.call(body, timeoutMs);
    if (res.isErr) {
      this.#deps.counters.count('link_failures', res.error.code);
      // A silent connection may never deliver data again; the next call opens a new one.
      const isSilent = connection.silentMs > SILENCE_LIMIT_MS;
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
  readonly #pendingCalls = new Map<number, (res: Result<unknown, LinkError>) => void>();
  #lastCallId = 0;
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
        const answer = decoded.isOk ? asRequestFrame(decoded.value) : undefined;
        if (!answer) break;
        this.#settle(answer.call, Result.ok(answer.body));
      }
      this.close('closed by the other node');
    } catch (err) {
      this.close(messageOf(err));
    }
  }

  /** Milliseconds since data was last received. */
  get silentMs(): number {
    return this.#deps.clock.now() - this.#receivedAt;
  }

  #settle(call: number, res: Result<unknown, LinkError>): void {
    const resolve = this.#pendingCalls.get(call);
    this.#pendingCalls.delete(call);
    resolve?.(res);
  }

  async call(body: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>> {
    if (this.isClosed)
      return Result.err(this.#error(LinkErrorCode.NotSent, 'connection is closed'));
    const call = ++this.#lastCallId;
    const frame = encodeFrame({ call, body } satisfies RequestFrame, MAX_FRAME_BYTES);
    if (frame.isErr) return Result.err(this.#error(LinkErrorCode.TooLarge, frame.error.message));
    const timeoutController = new AbortController();
    const answer = new Promise<Result<unknown, LinkError>>((resolve) => {
      this.#pendingCalls.set(call, resolve);
    });
    this.#socket.write(frame.value);
    void this.#deps.clock.sleep(timeoutMs, timeoutController.signal).then(async (isTimeout) => {
      if (!isTimeout) return;
      await pendingInputHandled();
      this.#settle(
        call,
        Result.err(this.#error(LinkErrorCode.NoAnswer, `no answer within ${timeoutMs} ms`)),
      );
    });
    const res = await answer;
    timeoutController.abort();
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
    for (const call of [...this.#pendingCalls.keys()]) {
      this.#settle(call, Result.err(this.#error(code, reason)));
    }
  }
}

interface LinkListenerOptions {
  host: string;
  port: number;
  log: DecisionLog;
  counters: Counters;
  /** Answers one call. A call on which it rejects gets no answer. */
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
  server.maxConnections = MAX_INBOUND_CONNECTIONS;
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

async function serveConnection(socket: Socket, options: LinkListenerOptions): Promise<void> {
  const { log, counters } = options;
  try {
    for await (const frame of readFrames(socket, () => MAX_FRAME_BYTES)) {
      const decoded = decodeBody(frame);
      const request = decoded.isOk ? asRequestFrame(decoded.value) : undefined;
      if (!request) {
        counters.count('link_failures', 'bad_frame');
        log.warn('link_failed', { peer: socket.remoteAddress, error: 'malformed frame' });
        break;
      }
      void reply(socket, request, options);
    }
  } catch (err) {
    log.warn('link_failed', { peer: socket.remoteAddress, error: messageOf(err) });
  }
  socket.destroy();
}

async function reply(
  socket: Socket,
  { call, body }: RequestFrame,
  { answer, log, counters }: LinkListenerOptions,
): Promise<void> {
  try {
    const frame = encodeFrame({ call, body: await answer(body) }, MAX_FRAME_BYTES);
    if (frame.isErr) throw frame.error;
    if (socket.writable) socket.write(frame.value);
  } catch (err) {
    counters.count('link_failures', 'call_failed');
    log.warn('link_call_failed', { peer: socket.remoteAddress, error: messageOf(err) });
  }
}

/** Returns the decoded frame if it has the fields of one. */
function asRequestFrame(value: unknown): RequestFrame | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { call, body } = value as Partial<RequestFrame>;
  return typeof call === 'number' ? { call, body } : undefined;
}
