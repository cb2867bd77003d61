import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Clock } from '../clock/index.js';
import { CallerConnection, HeaderErrorCode } from './callerConnection.js';
import { connectionOf, type ConnectionStream } from './connectionStream.js';
import { HeldByteTable } from './heldBytes.js';
import {
  CloseReason,
  EarlyRefusal,
  Holding,
  type ListenerLimits,
  type RefusalHandler,
  type RequestHandler,
} from './types.js';

/** Largest header size that the parser accepts; the limits in force may be lower. */
const MAX_PARSED_HEADER_BYTES = 65_536;
/** Interval at which the timeouts of connections are checked, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 500;
/** Number of checks during the header timeout, the shortest timeout. */
const CHECKS_PER_TIMEOUT = 4;
/** Shortest time between two reports of closed connections, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

/** Use of a listener, and what it has closed since the last report. */
export interface ListenerReport {
  openConnections: number;
  requestsInProgress: number;
  /** Number of closed connections by reason. */
  closed: ReadonlyMap<CloseReason, number>;
}

/** Dependencies of {@link HttpListener}. */
export interface HttpListenerDeps {
  clock: Clock;
  /** Limits in force; they may change while the listener is open. */
  limits: () => ListenerLimits;
  handle: RequestHandler;
  /** Answers a request that is refused before its handler runs. */
  refuse: RefusalHandler;
  /** Renders the response to a request that could not be parsed. */
  renderParseError: (err: NodeJS.ErrnoException) => string;
  /** Called for each connection that is closed because of a bound. */
  onClosed?: (reason: CloseReason) => void;
  /** Called after connections were closed because of a bound, at most every 5 s. */
  onReport?: (report: ListenerReport) => void;
}

/**
 * HTTP/1.1 listener that bounds what its callers make the process hold: connections, headers, bodies,
 * requests that are sent ahead, requests in progress and responses that are not read.
 */
export class HttpListener {
  readonly #deps: HttpListenerDeps;
  readonly #server: Server;
  readonly #parser: HttpServer;
  readonly #held: HeldByteTable;
  readonly #connections = new Set<CallerConnection>();
  #requestsInProgress = 0;
  /** Number of responses that are not sent and whose caller is still connected. */
  #openResponses = 0;
  #closedByReason = new Map<CloseReason, number>();
  #reportedAt = -Infinity;
  #isClosed = false;
  #onIdle: () => void = () => undefined;

  constructor(deps: HttpListenerDeps) {
    this.#deps = deps;
    this.#held = new HeldByteTable((holding) => totalLimit(deps.limits(), holding));
    this.#parser = this.#createParser();
    this.#server = createServer({ noDelay: true, allowHalfOpen: true }, (socket) => {
      this.#accept(socket);
    });
  }

  /** Port on which the listener accepts connections. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get openConnections(): number {
    return this.#connections.size;
  }

  /** Number of requests in progress, including those whose caller has disconnected. */
  get requestsInProgress(): number {
    return this.#requestsInProgress;
  }

  /** Bytes that the connections hold of a kind. */
  heldBytes(holding: Holding): number {
    return this.#held.total(holding);
  }

  /** Starts accepting connections; rejects if the address cannot be used. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
    this.#scheduleCheck();
  }

  /** Stops accepting connections, closes idle ones, and resolves when no caller waits for a response. */
  async drain(): Promise<void> {
    this.#server.close();
    for (const connection of this.#connections) if (connection.isIdle) connection.close();
    if (this.#openResponses === 0) return;
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve;
    });
  }

  /** Closes the listener with all connections at once. */
  close(): void {
    this.#isClosed = true;
    this.#server.close();
    for (const connection of this.#connections) connection.close();
  }

  #createParser(): HttpServer {
    const parser = createHttpServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      // Checked below: the response of the HTTP server would count as no request.
      requireHostHeader: false,
    });
    const onRequest = (req: IncomingMessage, res: ServerResponse) => {
      this.#startRequest(req, res, earlyRefusalOf(req));
    };
    parser.on('request', onRequest);
    parser.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      res.writeContinue();
      onRequest(req, res);
    });
    parser.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
      this.#startRequest(req, res, EarlyRefusal.ExpectationFailed);
    });
    parser.on('clientError', (err: NodeJS.ErrnoException, stream) => {
      this.#refuseUnparsed(err, (stream as unknown as ConnectionStream).connection);
    });
    return parser;
  }

  #accept(socket: Socket): void {
    const { maxConnections, idleTimeoutMs } = this.#deps.limits();
    if (this.#connections.size >= maxConnections && !this.#closeLongestWaiting()) {
      this.#countClosed(CloseReason.ConnectionRefused);
      socket.on('error', () => undefined);
      socket.destroy();
      return;
    }
    const connection = new CallerConnection(socket, {
      clock: this.#deps.clock,
      limits: this.#deps.limits,
      held: this.#held,
      onClosed: (closed) => this.#connections.delete(closed),
      onClosedByLimit: (reason) => {
        this.#countClosed(reason);
      },
      refuseHeaders: (refused, code) => {
        this.#refuseUnparsed(headerError(code), refused);
      },
    });
    this.#connections.add(connection);
    // Only announced to callers in a header; the connection checks its timeouts itself.
    this.#parser.keepAliveTimeout = idleTimeoutMs;
    this.#parser.emit('connection', connection.stream);
  }

  /** Closes the connection that has waited longest for its caller; returns false if none waits. */
  #closeLongestWaiting(): boolean {
    for (const holder of this.#held.holders()) {
      if (!(holder instanceof CallerConnection) || !holder.isWaiting) continue;
      holder.closeFor(CloseReason.ConnectionLimit);
      return true;
    }
    return false;
  }

  #startRequest(req: IncomingMessage, res: ServerResponse, early?: EarlyRefusal): void {
    const connection = connectionOf(req);
    connection.startRequest(req, res);
    const isFull = this.#requestsInProgress >= this.#deps.limits().maxInFlight;
    const refusal = early ?? (isFull ? EarlyRefusal.Overloaded : undefined);
    this.#requestsInProgress++;
    this.#openResponses++;
    void this.#run(req, res, connection, refusal);
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    connection: CallerConnection,
    refusal: EarlyRefusal | undefined,
  ): Promise<void> {
    const responded = new Promise<void>((resolve) => {
      res.once('close', () => {
        this.#openResponses--;
        if (this.#openResponses === 0) this.#onIdle();
        resolve();
      });
    });
    try {
      if (refusal) this.#deps.refuse(req, res, refusal);
      else await this.#deps.handle(req, res);
      await responded;
    } catch {
      // A handler reports its failures itself; what is left is a response that is not complete.
      connection.close();
    } finally {
      this.#requestsInProgress--;
      connection.endHandler();
    }
  }

  #refuseUnparsed(err: NodeJS.ErrnoException, connection: CallerConnection): void {
    // The caller would take a refusal for the response to its request in progress.
    if (connection.hasRequest || !connection.stream.writable || err.code === 'ECONNRESET')
      connection.close();
    else connection.endWith(this.#deps.renderParseError(err));
  }

  #countClosed(reason: CloseReason): void {
    this.#closedByReason.set(reason, (this.#closedByReason.get(reason) ?? 0) + 1);
    this.#deps.onClosed?.(reason);
  }

  #scheduleCheck(): void {
    const { headerTimeoutMs } = this.#deps.limits();
    const intervalMs = Math.min(
      Math.ceil(headerTimeoutMs / CHECKS_PER_TIMEOUT),
      MAX_CHECK_INTERVAL_MS,
    );
    this.#deps.clock.setTimer(intervalMs, () => {
      if (this.#isClosed) return;
      const now = this.#deps.clock.now();
      for (const connection of this.#connections) connection.checkTimeout(now);
      this.#report(now);
      this.#scheduleCheck();
    });
  }

  #report(now: number): void {
    if (this.#closedByReason.size === 0 || now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    const closed = this.#closedByReason;
    this.#closedByReason = new Map();
    const { openConnections, requestsInProgress } = this;
    this.#deps.onReport?.({ openConnections, requestsInProgress, closed });
  }
}

function totalLimit(limits: ListenerLimits, holding: Holding): number {
  switch (holding) {
    case Holding.Headers:
      return limits.maxTotalHeaderBytes;
    case Holding.Body:
      return limits.maxTotalBodyBytes;
    case Holding.ReadAhead:
      return limits.maxReadAheadBytes;
  }
}

function earlyRefusalOf({ headers, httpVersion }: IncomingMessage): EarlyRefusal | undefined {
  const isHostMissing = headers.host === undefined && httpVersion === '1.1';
  return isHostMissing ? EarlyRefusal.MissingHost : undefined;
}

function headerError(code: HeaderErrorCode): NodeJS.ErrnoException {
  const isTimeout = code === HeaderErrorCode.Timeout;
  const err: NodeJS.ErrnoException = new Error(
    isTimeout ? 'the headers did not arrive in time' : 'the headers are too large',
  );
  err.code = code;
  return err;
}
