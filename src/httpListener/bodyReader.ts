import type { IncomingMessage } from 'node:http';
import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import type { CallerConnection } from './callerConnection.js';
import { connectionOf } from './connectionStream.js';
import { BodyError, BodyErrorCode, type ListenerLimits } from './types.js';

/** Dependencies of {@link readBody}. */
export interface BodyReaderDeps {
  clock: Clock;
  limits: ListenerLimits;
}

/** Capacity of a buffer for a body whose length is not declared, or that is larger, in bytes. */
const INITIAL_CAPACITY_BYTES = 16_384;
const EMPTY_BODY = Buffer.alloc(0);

/**
 * Receives the whole body of a request of an {@link HttpListener}. Its memory counts as held until the
 * handler of the request has ended.
 */
export async function readBody(
  req: IncomingMessage,
  deps: BodyReaderDeps,
): Promise<Result<Buffer, BodyError>> {
  const { maxBodyBytes, memoryPerBodyByte } = deps.limits;
  const connection = connectionOf(req);
  const declared = req.headers['content-length'];
  if (Number(declared ?? 0) > maxBodyBytes) return Result.err(bodyTooLarge(maxBodyBytes));
  const buffer = new BodyBuffer(connection, declared === undefined ? undefined : Number(declared));
  const failure = await receive(req, deps, (piece) => {
    if (buffer.size + piece.length > maxBodyBytes) return bodyTooLarge(maxBodyBytes);
    return buffer.append(piece) ? undefined : noMemory();
  });
  if (failure) {
    connection.resizeBody(0);
    return Result.err(failure);
  }
  if (connection.resizeBody(buffer.size * memoryPerBodyByte)) return Result.ok(buffer.bytes());
  connection.resizeBody(0);
  return Result.err(noMemory());
}

/**
 * Collects the pieces of a body in one buffer. The pieces themselves are not kept, because each takes
 * more memory than a small piece has bytes, and keeps all of the read that it is part of.
 */
class BodyBuffer {
  readonly #connection: CallerConnection;
  readonly #declaredBytes: number | undefined;
  #buffer = EMPTY_BODY;
  size = 0;

  constructor(connection: CallerConnection, declaredBytes: number | undefined) {
    this.#connection = connection;
    this.#declaredBytes = declaredBytes;
  }

  /** Appends a piece; returns false if there is no room for it. */
  append(piece: Buffer): boolean {
    const size = this.size + piece.length;
    if (size > this.#buffer.length && !this.#grow(size)) return false;
    piece.copy(this.#buffer, this.size);
    this.size = size;
    return true;
  }

  bytes(): Buffer {
    return this.#buffer.subarray(0, this.size);
  }

  #grow(size: number): boolean {
    const declared = this.#declaredBytes ?? Infinity;
    const doubled = Math.max(2 * this.#buffer.length, INITIAL_CAPACITY_BYTES, size);
    const capacity = Math.max(size, Math.min(doubled, declared));
    if (!this.#connection.resizeBody(capacity)) return false;
    const buffer = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(buffer, 0, 0, this.size);
    this.#buffer = buffer;
    return true;
  }
}

/** Receives pieces until the body ends, `accept` returns an error, or a timeout expires. */
function receive(
  req: IncomingMessage,
  { clock, limits: { bodyIdleTimeoutMs, bodyTimeoutMs } }: BodyReaderDeps,
  accept: (piece: Buffer) => BodyError | undefined,
): Promise<BodyError | undefined> {
  return new Promise((resolve) => {
    let receivedAt = clock.now();
    const timeOut = (ms: number) => {
      settle(incomplete(`not received within ${ms} ms`));
    };
    // A timer that is set anew for each piece would cost more than the piece.
    const checkIdle = () => {
      const remainingMs = receivedAt + bodyIdleTimeoutMs - clock.now();
      if (remainingMs <= 0) timeOut(bodyIdleTimeoutMs);
      else idleTimer = clock.setTimer(remainingMs, checkIdle);
    };
    let idleTimer: Timer = clock.setTimer(bodyIdleTimeoutMs, checkIdle);
    const totalTimer = clock.setTimer(bodyTimeoutMs, () => {
      timeOut(bodyTimeoutMs);
    });
    const settle = (failure?: BodyError) => {
      idleTimer.cancel();
      totalTimer.cancel();
      req.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
      req.on('error', () => undefined);
      if (failure) req.resume();
      resolve(failure);
    };
    const onEnd = () => {
      settle();
    };
    const onClose = () => {
      settle(incomplete('the connection was closed'));
    };
    const onData = (piece: Buffer) => {
      receivedAt = clock.now();
      const failure = accept(piece);
      if (failure) settle(failure);
    };
    req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
  });
}

function bodyTooLarge(maxBytes: number): BodyError {
  return new BodyError(BodyErrorCode.TooLarge, `the body is larger than ${maxBytes} bytes`);
}

function noMemory(): BodyError {
  return new BodyError(BodyErrorCode.NoMemory, 'no memory for the body beside other requests');
}

function incomplete(found: string): BodyError {
  return new BodyError(BodyErrorCode.Incomplete, `incomplete body: ${found}`);
}
