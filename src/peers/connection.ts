import type { Socket } from 'node:net';
import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import { toError } from '../errors/index.js';
import { decodeBody, encodeFrame, readFrames } from './framing.js';
import { MAX_HANDSHAKE_FRAME_BYTES, type HandshakeChannel } from './handshake.js';
import { PeerError, PeerErrorCode, type MemberInfo } from './types.js';

/** Time in milliseconds to flush what was written before a closing connection is destroyed. */
const CLOSE_GRACE_MS = 1_000;

/** Limits of one connection. */
export interface ConnectionLimits {
  maxFrameBytes: number;
  maxBufferedBytes: number;
  idleTimeoutMs: number;
}

/** Called with the size of each frame in bytes, header included. */
export interface ConnectionObserver {
  onReceived: (bytes: number) => void;
  onSent: (bytes: number) => void;
}

/** One TCP connection to a peer, from connecting until both directions are closed. */
export class Connection implements HandshakeChannel {
  /** The authenticated member; undefined during the handshake. */
  peer: MemberInfo | undefined;
  /** Name of the member that dialed. */
  dialer = '';
  /** Monotonic time of authentication in milliseconds. */
  establishedAt = 0;
  /** Resolves when the socket is closed. */
  readonly closed: Promise<void>;
  readonly #socket: Socket;
  readonly #clock: Clock;
  readonly #limits: ConnectionLimits;
  readonly #observer: ConnectionObserver;
  readonly #frames: AsyncGenerator<Buffer, void, undefined>;
  #lastHeardAt: number;
  #silenceMs: number;
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
    this.#lastHeardAt = clock.now();
    this.#silenceMs = limits.idleTimeoutMs;
    // Failures reach the reader through the stream's iterator.
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

  /** Marks the connection as authenticated and starts to watch for silence. */
  establish(peer: MemberInfo, dialer: string): void {
    this.peer = peer;
    this.dialer = dialer;
    this.establishedAt = this.#clock.now();
    this.noteLife();
    this.#watchIdle();
  }

  /** Records a sign of life of the peer. */
  noteLife(): void {
    this.#lastHeardAt = this.#clock.now();
  }

  /** Sets the silence in milliseconds after which the connection is closed, if it is longer. */
  allowSilence(ms: number): void {
    this.#silenceMs = Math.max(this.#limits.idleTimeoutMs, ms);
  }

  /** Receives the next message; throws PeerError when the connection ended or sent a bad frame. */
  async receive(): Promise<unknown> {
    const frame = await this.#nextFrame();
    this.#observer.onReceived(frame.length);
    const body = decodeBody(frame);
    if (body.isErr) throw body.error;
    return body.value;
  }

  /** Writes a handshake message; the size is bounded by the handshake itself. */
  send(message: unknown): void {
    const sent = this.write(message);
    if (sent.isErr) throw sent.error;
  }

  /** Queues a message for writing; an error means that nothing was written. */
  write(message: unknown): Result<void, PeerError> {
    if (this.#closing || !this.#socket.writable) return Result.err(notConnected('is closed'));
    const frame = encodeFrame(message, this.#limits.maxFrameBytes);
    if (frame.isErr) return Result.err(frame.error);
    const waiting = this.#socket.writableLength;
    if (waiting + frame.value.length > this.#limits.maxBufferedBytes) {
      const text = `${waiting} bytes are waiting, the limit is ${this.#limits.maxBufferedBytes}`;
      return Result.err(new PeerError(PeerErrorCode.Overloaded, text));
    }
    this.#socket.write(frame.value);
    this.#observer.onSent(frame.value.length);
    return Result.ok(undefined);
  }

  /** Flushes what was written, reads what the peer still sends, then closes. */
  close(): Promise<void> {
    if (!this.#closing) {
      this.#closing = true;
      this.#idleTimer?.cancel();
      this.#socket.end();
      const grace = this.#clock.setTimer(CLOSE_GRACE_MS, () => {
        this.destroy();
      });
      void this.closed.then(() => {
        grace.cancel();
      });
    }
    return this.closed;
  }

  /** Closes at once. */
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

  #watchIdle(): void {
    const silence = this.#clock.now() - this.#lastHeardAt;
    const left = this.#silenceMs - silence;
    if (left <= 0) {
      this.destroy();
      return;
    }
    this.#idleTimer = this.#clock.setTimer(left, () => {
      this.#watchIdle();
    });
  }
}

function notConnected(what: string): PeerError {
  return new PeerError(PeerErrorCode.NotConnected, `the connection ${what}`);
}
