import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock/index.js';
import { BlankLineScanner } from './blankLineScanner.js';
import { ConnectionStream } from './connectionStream.js';
import type { ByteHolder, HeldByteTable } from './heldBytes.js';
import { CloseReason, Holding, type ListenerLimits } from './types.js';

/** What a connection is doing. */
enum Phase {
  /** No byte of the next request has arrived. */
  Idle = 'idle',
  /** The headers of a request are being received. */
  Headers = 'headers',
  /** The request has a handler, and its body is not yet complete. */
  Body = 'body',
  /** The request is complete, and its handler runs. */
  Serving = 'serving',
  /** The handler has ended the response, and the caller has not yet read it. */
  Answering = 'answering',
  /** The last response is sent; input is discarded until the caller closes the connection. */
  Closing = 'closing',
  Closed = 'closed',
}

/** Dependencies of a {@link CallerConnection}. */
export interface CallerConnectionDeps {
  clock: Clock;
  limits: () => ListenerLimits;
  held: HeldByteTable;
  /** Called once the connection is closed, for whatever reason. */
  onClosed: (connection: CallerConnection) => void;
  /** Called for each connection that is closed because of a bound. */
  onClosedByLimit: (reason: CloseReason) => void;
  /** Refuses headers that did not arrive in time, or that are too large. */
  refuseHeaders: (connection: CallerConnection, code: HeaderErrorCode) => void;
}

/** Codes that the HTTP parser of Node.js uses for the same errors. */
export enum HeaderErrorCode {
  TooLarge = 'HPE_HEADER_OVERFLOW',
  Timeout = 'ERR_HTTP_REQUEST_TIMEOUT',
}

/** Time for a caller to close the connection after the last response, in milliseconds. */
const LINGER_MS = 1_000;
/** Bytes that are discarded after the last response before the connection is reset. */
const MAX_DISCARDED_BYTES = 1_048_576;
/** Bytes on the wire for each byte of a body in chunks of one byte, rounded up. */
const WIRE_BYTES_PER_BODY_BYTE = 8;
/** Size of one read from the socket. */
const READ_BYTES = 65_536;
/** Part of a body in chunks that the parser gets at once; bounds the pieces that it creates at once. */
const CHUNKED_SLICE_BYTES = 16_384;

/**
 * One connection of a caller. Passes the bytes to the HTTP parser one request at a time: what a caller
 * sends ahead stays unparsed until the response to its request in progress is sent.
 */
export class CallerConnection implements ByteHolder {
  readonly stream: ConnectionStream;
  readonly #socket: Socket;
  readonly #deps: CallerConnectionDeps;
  readonly #scanner = new BlankLineScanner();
  #phase = Phase.Idle;
  #phaseStartedAt: number;
  #req: IncomingMessage | undefined;
  /** Whether the handler of the present request has not ended. */
  #hasHandler = false;
  /** Whether a request of this connection has been answered. */
  #hasAnswered = false;
  /** Whether the present request is answered, although its body is not complete. */
  #isAnswered = false;
  #isFeeding = false;
  #hasSocketEnded = false;
  #hasStreamEnded = false;
  /** Bytes from the socket that the parser has not got. */
  #pending: Buffer | undefined;
  /** Bytes of the present request that the parser has got. */
  #fedBytes = 0;
  #discardedBytes = 0;
  /** Length of the body that the parser has not got; undefined for a body in chunks. */
  #remainingBodyBytes: number | undefined;
  readonly #heldBytes = { [Holding.Headers]: 0, [Holding.Body]: 0, [Holding.ReadAhead]: 0 };

  constructor(socket: Socket, deps: CallerConnectionDeps) {
    this.#socket = socket;
    this.#deps = deps;
    this.#phaseStartedAt = deps.clock.now();
    this.stream = new ConnectionStream(this, socket);
    deps.held.add(this);
    socket.on('data', (chunk: Buffer) => {
      this.#receive(chunk);
    });
    socket.on('end', () => {
      this.#hasSocketEnded = true;
      if (this.#phase === Phase.Closing) this.stream.destroy();
      else this.feedParser();
    });
    socket.on('error', (err) => {
      this.stream.destroy(err);
    });
    socket.on('close', () => {
      this.stream.destroy();
      this.#enter(Phase.Closed);
    });
  }

  /** Whether a request is in progress that is not yet answered. */
  get hasRequest(): boolean {
    return this.#phase === Phase.Body || this.#phase === Phase.Serving;
  }

  get isIdle(): boolean {
    return this.#phase === Phase.Idle;
  }

  /** Whether the connection waits for its caller, so that it may be closed in favour of another. */
  get isWaiting(): boolean {
    return this.#phase !== Phase.Serving && this.#phase !== Phase.Closed;
  }

  canRelease(holding: Holding): boolean {
    if (holding === Holding.Headers) return this.#phase === Phase.Headers;
    return holding === Holding.Body && this.#phase === Phase.Body;
  }

  releaseFor(holding: Holding): void {
    const isHeaders = holding === Holding.Headers;
    this.closeFor(isHeaders ? CloseReason.HeaderMemory : CloseReason.BodyMemory);
    this.#hold(holding, 0);
  }

  /** Closes the connection without a response because of a bound. */
  closeFor(reason: CloseReason): void {
    if (this.#phase === Phase.Closed) return;
    this.#deps.onClosedByLimit(reason);
    this.close();
  }

  /** Closes the connection at once. */
  close(): void {
    this.stream.destroy();
    this.#enter(Phase.Closed);
  }

  /** Sends a response that is not one of the HTTP server, and closes the connection after it. */
  endWith(response: string): void {
    this.stream.write(response);
    this.#linger();
  }

  /** Closes the connection after its last response. */
  closeAfterResponse(): void {
    if (this.#pending || this.#req?.complete === false) {
      this.#linger();
      return;
    }
    this.#enter(Phase.Closing);
    this.stream.end(() => this.stream.destroy());
  }

  /** Registers the request that the parser has found. */
  startRequest(req: IncomingMessage, res: ServerResponse): void {
    this.#req = req;
    this.#hasHandler = true;
    this.#isAnswered = false;
    const length = req.headers['content-length'];
    this.#remainingBodyBytes = length === undefined ? undefined : Number(length);
    this.#enter(Phase.Body);
    res.once('prefinish', () => {
      if (this.hasRequest) this.#enter(Phase.Answering);
    });
    res.once('finish', () => {
      if (this.#phase === Phase.Answering) this.#handleAnswered();
    });
  }

  /** To be called when the handler of the request has ended. */
  endHandler(): void {
    this.#hasHandler = false;
    this.#hold(Holding.Body, 0);
    if (this.#phase === Phase.Closed) this.#deps.held.remove(this);
  }

  /**
   * Changes the memory that the body of the request takes.
   *
   * @returns false if there is no room for it
   */
  resizeBody(bytes: number): boolean {
    return this.#hold(Holding.Body, bytes);
  }

  /** Closes the connection if the time of its present phase is over. */
  checkTimeout(now: number): void {
    const { bodyTimeoutMs, answerTimeoutMs, idleTimeoutMs } = this.#deps.limits();
    const elapsedMs = now - this.#phaseStartedAt;
    switch (this.#phase) {
      case Phase.Idle:
        // The time for the first headers starts with the connection.
        if (!this.#hasAnswered) this.#checkHeaderTimeout(elapsedMs);
        else if (idleTimeoutMs > 0 && elapsedMs > idleTimeoutMs) this.closeFor(CloseReason.Idle);
        break;
      case Phase.Headers:
        this.#checkHeaderTimeout(elapsedMs);
        break;
      case Phase.Body:
        // For handlers that do not read the body; the body reader has a timer of its own.
        if (elapsedMs > bodyTimeoutMs + LINGER_MS) this.closeFor(CloseReason.BodyTimeout);
        break;
      case Phase.Answering:
        if (elapsedMs > answerTimeoutMs) this.closeFor(CloseReason.AnswerTimeout);
        break;
      case Phase.Closing:
        if (elapsedMs > LINGER_MS) this.close();
        break;
      case Phase.Serving:
      case Phase.Closed:
        break;
    }
  }

  /** Passes bytes to the parser until the request in progress is complete. */
  feedParser(): void {
    if (this.#isFeeding || !this.#isOpen()) return;
    this.#isFeeding = true;
    while (this.#pending && this.#isParserReady) this.#feedNext(this.#pending);
    this.#isFeeding = false;
    if (!this.#isOpen()) return;
    if (this.#pending) {
      this.#socket.pause();
      // A part of a read keeps all of it in memory, and the socket may buffer one more read.
      if (!this.#hold(Holding.ReadAhead, 2 * READ_BYTES))
        this.closeFor(CloseReason.ReadAheadMemory);
      return;
    }
    this.#hold(Holding.ReadAhead, 0);
    if (this.#hasSocketEnded) this.#endStream();
    else if (this.#socket.isPaused()) this.#socket.resume();
  }

  #isOpen(): boolean {
    return this.#phase !== Phase.Closing && this.#phase !== Phase.Closed;
  }

  get #isParserReady(): boolean {
    const { destroyed, readableLength, readableFlowing } = this.stream;
    // Bytes that the stream buffers have not been parsed, so the present phase is not yet known.
    if (destroyed || readableLength > 0 || readableFlowing !== true) return false;
    const phase = this.#phase;
    return phase === Phase.Idle || phase === Phase.Headers || phase === Phase.Body;
  }

  #receive(chunk: Buffer): void {
    if (this.#phase === Phase.Closing) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) this.close();
      return;
    }
    this.#pending = this.#pending ? Buffer.concat([this.#pending, chunk]) : chunk;
    this.feedParser();
  }

  #feedNext(pending: Buffer): void {
    const limits = this.#deps.limits();
    if (this.#phase === Phase.Idle) this.#enter(Phase.Headers);
    const isHeaders = this.#phase === Phase.Headers;
    const slice = pending.subarray(0, this.#nextLength(pending, limits));
    this.#pending = slice.length < pending.length ? pending.subarray(slice.length) : undefined;
    this.#fedBytes += slice.length;
    if (isHeaders && !this.#hold(Holding.Headers, this.#fedBytes)) {
      this.closeFor(CloseReason.HeaderMemory);
      return;
    }
    if (this.#fedBytes > maxWireBytes(limits)) {
      this.closeFor(CloseReason.RequestTooLong);
      return;
    }
    this.stream.push(slice);
    this.#handleParsed(limits);
  }

  /** Updates the phase after the parser has got a slice. */
  #handleParsed({ maxHeaderBytes }: ListenerLimits): void {
    if (this.#phase === Phase.Headers && this.#fedBytes > maxHeaderBytes)
      this.#deps.refuseHeaders(this, HeaderErrorCode.TooLarge);
    if (this.#phase !== Phase.Body || !this.#req?.complete) return;
    if (this.#isAnswered) this.#endRequest();
    else this.#enter(Phase.Serving);
  }

  /** Length of the part of the pending bytes that contains no byte of a further request. */
  #nextLength(pending: Buffer, { maxHeaderBytes }: ListenerLimits): number {
    if (this.#phase === Phase.Headers) {
      const allowedBytes = Math.max(1, maxHeaderBytes + 1 - this.#fedBytes);
      return this.#scanner.scan(pending.subarray(0, allowedBytes));
    }
    if (this.#remainingBodyBytes === undefined)
      return this.#scanner.scan(pending.subarray(0, CHUNKED_SLICE_BYTES));
    const length = Math.max(1, Math.min(this.#remainingBodyBytes, pending.length));
    this.#remainingBodyBytes -= length;
    return length;
  }

  #handleAnswered(): void {
    this.#hasAnswered = true;
    if (this.#req?.complete) {
      this.#endRequest();
      return;
    }
    this.#isAnswered = true;
    this.#enter(Phase.Body);
    this.feedParser();
  }

  #endRequest(): void {
    this.#req = undefined;
    this.#fedBytes = 0;
    this.#hold(Holding.Headers, 0);
    this.#enter(Phase.Idle);
    // The requests that a caller has sent ahead take turns with the input of other connections.
    if (this.#pending)
      setImmediate(() => {
        this.feedParser();
      });
  }

  #checkHeaderTimeout(elapsedMs: number): void {
    if (elapsedMs <= this.#deps.limits().headerTimeoutMs) return;
    this.#deps.onClosedByLimit(CloseReason.HeaderTimeout);
    this.#deps.refuseHeaders(this, HeaderErrorCode.Timeout);
  }

  /** Discards input until the caller closes the connection, so that it receives the response. */
  #linger(): void {
    this.stream.end();
    this.#pending = undefined;
    this.#hold(Holding.ReadAhead, 0);
    this.#enter(Phase.Closing);
    // A socket that is closed with unread input is reset, and the response may be lost.
    this.#socket.resume();
  }

  #endStream(): void {
    if (this.#hasStreamEnded) return;
    this.#hasStreamEnded = true;
    this.stream.push(null);
  }

  #enter(phase: Phase): void {
    if (this.#phase === Phase.Closed || this.#phase === phase) return;
    this.#phase = phase;
    this.#phaseStartedAt = this.#deps.clock.now();
    this.#deps.held.restart(this);
    if (phase !== Phase.Closed) return;
    this.#pending = undefined;
    this.#deps.onClosed(this);
    if (!this.#hasHandler) this.#deps.held.remove(this);
  }

  #hold(holding: Holding, bytes: number): boolean {
    const change = bytes - this.#heldBytes[holding];
    if (change === 0) return true;
    if (!this.#deps.held.change(this, holding, change)) return false;
    this.#heldBytes[holding] = bytes;
    return true;
  }
}

function maxWireBytes({ maxHeaderBytes, maxBodyBytes }: ListenerLimits): number {
  return maxHeaderBytes + WIRE_BYTES_PER_BODY_BYTE * maxBodyBytes + READ_BYTES;
}
