import type { ServerResponse } from 'node:http';
import { Outcome } from '../peers/index.js';
import { checkAnswer, sendAnswer } from './callerResponse.js';
import type { RequestsSettings } from './defaults.js';
import { RequestReason } from './reasons.js';
import { RequestError, type CallerAnswer } from './types.js';

/** Writes responses and bounds the bytes that slow callers have not yet read. */
export class AnswerWriter {
  readonly #settings: RequestsSettings;
  #unreadBytes = 0;

  constructor(settings: RequestsSettings) {
    this.#settings = settings;
  }

  /** Total size of the responses that callers have not yet read, in bytes. */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /**
   * Writes a response. The listener closes the connection if the caller does not read it in time.
   *
   * @returns the reason why the response cannot be sent; undefined if it was written
   */
  write(res: ServerResponse, method: string, answer: CallerAnswer): RequestError | undefined {
    const rejected = checkAnswer(answer) ?? this.#checkUnreadLimit(answer);
    if (rejected) return rejected;
    const size = answer.body.byteLength;
    this.#unreadBytes += size;
    res.once('close', () => {
      this.#unreadBytes -= size;
    });
    sendAnswer(res, method, answer);
    return undefined;
  }

  #checkUnreadLimit({ body, requestId }: CallerAnswer): RequestError | undefined {
    const limit = this.#settings.maxUnreadAnswerBytes;
    if (this.#unreadBytes + body.byteLength <= limit) return undefined;
    const message = `unread responses exceed ${limit} bytes`;
    const outcome = Outcome.Unknown;
    return new RequestError(RequestReason.Overloaded, message, { outcome, requestId });
  }
}
