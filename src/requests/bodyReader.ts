import type { IncomingMessage } from 'node:http';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type { RequestsSettings } from './defaults.js';
import { RequestReason } from './reasons.js';
import { RequestError } from './types.js';

type BodyResult = Result<Uint8Array, RequestError>;

/** Receives request bodies and bounds the size of each body and of all buffered bodies. */
export class BodyReader {
  readonly #clock: Clock;
  readonly #settings: RequestsSettings;
  #bufferedBytes = 0;

  constructor(clock: Clock, settings: RequestsSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Total size of the buffered bodies, in bytes. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** Stops counting a body that {@link read} returned as buffered. */
  release(body: Uint8Array): void {
    this.#bufferedBytes -= body.byteLength;
  }

  /** Receives a whole body. It counts as buffered until it is passed to {@link release}. */
  async read(req: IncomingMessage): Promise<BodyResult> {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > this.#settings.maxBodyBytes) return Result.err(this.#bodyTooLarge());
    const chunks: Buffer[] = [];
    let size = 0;
    const failure = await this.#receive(req, (chunk) => {
      chunks.push(chunk);
      size += chunk.byteLength;
      this.#bufferedBytes += chunk.byteLength;
      if (size > this.#settings.maxBodyBytes) return this.#bodyTooLarge();
      return this.#bufferedBytes > this.#settings.maxBufferedBytes ? this.#bufferFull() : undefined;
    });
    if (!failure) return Result.ok(Buffer.concat(chunks, size));
    this.#bufferedBytes -= size;
    return Result.err(failure);
  }

  /** Receives chunks until the body ends, `acceptChunk` returns an error, or a timeout expires. */
  #receive(
    req: IncomingMessage,
    acceptChunk: (chunk: Buffer) => RequestError | undefined,
  ): Promise<RequestError | undefined> {
    const { bodyIdleTimeoutMs, bodyTimeoutMs } = this.#settings;
    return new Promise((resolve) => {
      const settle = (failure?: RequestError) => {
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
        settle(incompleteBody('the connection was closed'));
      };
      const onTimeout = (ms: number) => () => {
        settle(incompleteBody(`not received within ${ms} ms`));
      };
      const onData = (chunk: Buffer) => {
        idleTimer.cancel();
        idleTimer = this.#clock.setTimer(bodyIdleTimeoutMs, onTimeout(bodyIdleTimeoutMs));
        const failure = acceptChunk(chunk);
        if (failure) settle(failure);
      };
      let idleTimer = this.#clock.setTimer(bodyIdleTimeoutMs, onTimeout(bodyIdleTimeoutMs));
      const totalTimer = this.#clock.setTimer(bodyTimeoutMs, onTimeout(bodyTimeoutMs));
      req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
    });
  }

  #bodyTooLarge(): RequestError {
    const message = `the body is larger than ${this.#settings.maxBodyBytes} bytes`;
    return new RequestError(RequestReason.BodyTooLarge, message);
  }

  #bufferFull(): RequestError {
    const message = `the buffered bodies are larger than ${this.#settings.maxBufferedBytes} bytes`;
    return new RequestError(RequestReason.Overloaded, message);
  }
}

function incompleteBody(found: string): RequestError {
  return new RequestError(RequestReason.ReceiveTimeout, `incomplete body: ${found}`);
}
