import type { Socket } from 'node:net';
import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import { toError } from '../errors/index.js';
import { decodeBody, encodeFrame, readFrames } from './framing.js';
import { MAX_HANDSHAKE_FRAME_BYTES, type HandshakeChannel } from './handshake.js';
import { PeerError, PeerErrorCode, type MemberInfo } from './types.js';

/** Time in milliseconds to flush written data before a closing connection is destroyed. */
const CLOSE_GRACE_MS = 1_000;

/** Limits of one connection. */
export interface ConnectionLimits {
  maxFrameBytes: number;
  maxBufferedBytes: number;
  idleTimeoutMs: number;
}

/**
 * Callbacks with the size of each frame in bytes. The size includes the header for sent frames, but
 * not for received ones.
 */
export interface ConnectionObserver {
  onReceived: (bytes: number) => void;
  onSent: (bytes: number) => void;
}

/** One TCP connection to a peer, from connecting until both directions are closed. */
export class Connection implements HandshakeChannel {
  /** The authenticated peer; undefined until the handshake has completed. */
  peer: MemberInfo | undefined;
  /** Name of the member that opened the connection. */
  dialer = '';
  /** Monotonic time at which the handshake completed, in milliseconds. */
  establishedAt = 0;
  /** Resolves when the socket is closed. */
  readonly closed: Promise<void>;
  readonly #socket: Socket;
  readonly #clock: Clock;
  readonly #limits: ConnectionLimits;
  readonly #observer: ConnectionObserver;
  readonly #frames: AsyncGenerator<Buffer, void, undefined>;
  #lastActivityAt: number;
  #idleTimeoutMs: number;
  #idleTimer: Timer | undefined;
  #closing = false;

  constructor(
    socket: Socket,
    clock: Clock,
    limits: ConnectionLimits,
    observer: ConnectionObserver,
  ) {
    this.#socket = socket;
    this.#clock = clock;
    this.#limits = limits;
    this.#observer = observer;
    this.#lastActivityAt = clock.now();
    this.#idleTimeoutMs = limits.idleTimeoutMs;
    // Socket errors are reported to the reader by the stream's async iterator.
    socket.on('error', () => undefined);
    socket.setNoDelay(true);
    this.closed = new Promise((resolve) =>
      socket.once('close', () => {
        resolve();
      }),
    );
    this.#frames = readFrames(socket as AsyncIterable<Buffer>, () =>
      this.peer ? limits.maxFrameBytes : MAX_HANDSHAKE_FRAME_BYTES,
    );
  }

  /** Marks the connection as authenticated and starts the idle timer. */
  establish(peer: MemberInfo, dialer: string): void {
    this.peer = peer;
    this.dialer = dialer;
    this.establishedAt = this.#clock.now();
    this.recordActivity();
    this.#checkIdle();
  }

  /** Resets the idle time because a message from the peer has arrived. */
  recordActivity(): void {
    this.#lastActivityAt = this.#clock.now();
  }

  /** Sets the idle timeout; values below `idleTimeoutMs` of the limits are raised to it. */
  setIdleTimeout(timeoutMs: number): void {
    this.#idleTimeoutMs = Math.max(this.#limits.idleTimeoutMs, timeoutMs);
  }

  /** Receives the next message; throws PeerError on a closed connection or an invalid frame. */
  async receive(): Promise<unknown> {
    const frame = await this.#nextFrame();
    this.#observer.onReceived(frame.length);
    const body = decodeBody(frame);
    if (body.isErr) throw body.error;
    return body.value;
  }

  /** Writes a handshake message, whose size the handshake bounds; throws PeerError on failure. */
  send(message: unknown): void {
    const sent = this.write(message);
    if (sent.isErr) throw sent.error;
  }

  /** Queues a message for writing. On error, no part of the message is written. */
  write(message: unknown): Result<void, PeerError> {
    if (this.#closing || !this.#socket.writable) return Result.err(notConnected('is closed'));
    const frame = encodeFrame(message, this.#limits.maxFrameBytes);
    if (frame.isErr) return Result.err(frame.error);
    const bufferedBytes = this.#socket.writableLength;
    if (bufferedBytes + frame.value.length > this.#limits.maxBufferedBytes) {
      const text = `message does not fit into the send buffer: ${bufferedBytes} of ${this.#limits.maxBufferedBytes} bytes queued`;
      return Result.err(new PeerError(PeerErrorCode.Overloaded, text));
    }
    this.#socket.write(frame.value);
    this.#observer.onSent(frame.value.length);
    return Result.ok(undefined);
  }

  /** Closes gracefully: flushes written data and still reads what the peer sends. */
  close(): Promise<void> {
    if (!this.#closing) {
      this.#closing = true;
      this.#idleTimer?.cancel();
      this.#socket.end();
      const graceTimer = this.#clock.setTimer(CLOSE_GRACE_MS, () => {
        this.destroy();
      });
      void this.closed.then(() => {
        graceTimer.cancel();
      });
    }
    return this.closed;
  }

  /** Closes immediately and discards unsent data. */
  destroy(): void {
    this.#closing = true;
    this.#idleTimer?.cancel();
    this.#socket.destroy();
  }

  async #nextFrame(): Promise<Buffer> {
    try {
      const next = await this.#frames.next();
      if (!next.done) return next.value;
    } catch (err) {
      if (err instanceof PeerError) throw err;
      throw new PeerError(PeerErrorCode.NotConnected, toError(err).message, err);
    }
    throw notConnected('was closed by the peer');
  }

  #checkIdle(): void {
    const idleMs = this.#clock.now() - this.#lastActivityAt;
    const remainingMs = this.#idleTimeoutMs - idleMs;
    if (remainingMs <= 0) {
      this.destroy();
      return;
    }
    this.#idleTimer = this.#clock.setTimer(remainingMs, () => {
      this.#checkIdle();
    });
  }
}

function notConnected(state: string): PeerError {
  return new PeerError(PeerErrorCode.NotConnected, `the connection ${state}`);
}
