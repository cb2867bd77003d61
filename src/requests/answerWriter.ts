import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock/index.js';
import { Outcome } from '../peers/index.js';
import { checkAnswer, sendAnswer } from './callerResponse.js';
import type { RequestsSettings } from './defaults.js';
import { RequestReason } from './reasons.js';
import { RequestError, type CallerAnswer } from './types.js';

/** Writes responses and bounds the bytes that slow callers have not yet read. */
export class AnswerWriter {
  readonly #clock: Clock;
  readonly #settings: RequestsSettings;
  #unreadBytes = 0;

  constructor(clock: Clock, settings: RequestsSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Total size of the responses that callers have not yet read, in bytes. */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /**
   * Writes a response. The connection is closed if the caller does not read it in time.
   *
   * @returns the reason why the response cannot be sent; undefined if it was written
   */
  write(res: ServerResponse, method: string, answer: CallerAnswer): RequestError | undefined {
    const rejected = checkAnswer(answer) ?? this.#checkUnreadLimit(answer);
    if (rejected) return rejected;
    const size = answer.body.byteLength;
    this.#unreadBytes += size;
    const timer = this.#clock.setTimer(this.#settings.answerTimeoutMs, () => {
      res.destroy();
    });
    res.once('close', () => {
      timer.cancel();
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
