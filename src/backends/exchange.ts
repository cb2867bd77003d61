import { Result } from 'true-myth';
import { errors, type Dispatcher } from 'undici';
import type { Clock, Timer } from '../clock/index.js';
import { toError } from '../errors/index.js';
import {
  checkAnswerEnd,
  checkAnswerStart,
  flattenHeaders,
  provesNotStarted,
} from './answerCheck.js';
import {
  BackendError,
  BackendErrorCode,
  type BackendResponse,
  type BackendRequest,
} from './types.js';

/** Result of one attempt. */
export type ExchangeResult = Result<BackendResponse, BackendError>;

/** Options of {@link exchange}. */
export interface ExchangeOptions {
  vm: string;
  clock: Clock;
  maxAnswerBytes: number;
  /** Called when the request is handed to a connected socket. */
  onSend: () => void;
  /** Headers as sent; computed at the last moment because they carry the remaining time. */
  headers: Record<string, string>;
}

/**
 * Sends one request on a dispatcher and reads the whole answer. The request counts as "may have
 * run" from the moment the dispatcher hands it to a connected socket.
 */
export function exchange(
  dispatcher: Dispatcher,
  req: BackendRequest,
  options: ExchangeOptions,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(req, options, resolve);
    handler.start(dispatcher);
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #req: BackendRequest;
  readonly #options: ExchangeOptions;
  readonly #resolve: (result: ExchangeResult) => void;
  readonly #chunks: Buffer[] = [];
  readonly #onAbort: () => void;
  readonly #deadlineTimer: Timer;
  #controller: Dispatcher.DispatchController | undefined;
  #isHanded = false;
  #isSettled = false;
  #status = 0;
  #headers: Record<string, string> = {};
  #bytes = 0;
  /** Set once the backend server proved that it did not start the request. */
  #refusal: BackendError | undefined;

  constructor(
    req: BackendRequest,
    options: ExchangeOptions,
    resolve: (result: ExchangeResult) => void,
  ) {
    this.#req = req;
    this.#options = options;
    this.#resolve = resolve;
    this.#onAbort = () => {
      this.#stop(BackendErrorCode.Cancelled, 'the caller went away');
    };
    const remainingMs = req.deadline - options.clock.now();
    this.#deadlineTimer = options.clock.setTimer(Math.max(0, remainingMs), () => {
      this.#stop(this.#deadlineCode(), 'the deadline passed');
    });
    req.signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  start(dispatcher: Dispatcher): void {
    const { path, method, body } = this.#req;
    const { headers } = this.#options;
    try {
      // Answers are bounded by the deadline, not by the dispatcher's own timeouts.
      const limits = { headersTimeout: 0, bodyTimeout: 0 };
      const sentBody = body.length > 0 ? body : null;
      const sent = { path, method, headers, body: sentBody };
      dispatcher.dispatch({ ...sent, ...limits }, this);
    } catch (err) {
      this.#fail(BackendErrorCode.InvalidRequest, toError(err).message, err);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSettled) {
      controller.abort(new Error('the attempt already ended'));
    } else if (this.#req.deadline <= this.#options.clock.now()) {
      this.#stop(BackendErrorCode.DeadlineBeforeSend, 'the deadline passed before sending');
    } else {
      this.#isHanded = true;
      this.#options.onSend();
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.#isSettled) return;
    this.#status = status;
    this.#headers = flattenHeaders(headers);
    this.#refusal = provesNotStarted(this.#req.requestId, status, this.#headers);
    if (this.#refusal) return;
    const fault = checkAnswerStart(this.#req, this.#headers, this.#options.maxAnswerBytes);
    if (fault) this.#stop(fault.code, fault.message);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#bytes += chunk.length;
    if (this.#bytes > this.#options.maxAnswerBytes) {
      const message = `the answer exceeds ${this.#options.maxAnswerBytes} bytes`;
      this.#stop(BackendErrorCode.Oversize, message);
    } else this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.#refusal) {
      this.#settle(Result.err(this.#refusal));
      return;
    }
    const fault = checkAnswerEnd(this.#req, this.#status, this.#headers, this.#bytes);
    if (fault) {
      this.#fail(fault.code, fault.message);
      return;
    }
    const body = Buffer.concat(this.#chunks);
    this.#settle(Result.ok({ status: this.#status, headers: this.#headers, body }));
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const isInvalid = err instanceof errors.InvalidArgumentError && !this.#isHanded;
    const code = isInvalid ? BackendErrorCode.InvalidRequest : this.#lossCode();
    this.#fail(code, err.message, err);
  }

  #lossCode(): BackendErrorCode {
    if (!this.#isHanded) return BackendErrorCode.ConnectFailed;
    return this.#status > 0 ? BackendErrorCode.Truncated : BackendErrorCode.ConnectionLost;
  }

  #deadlineCode(): BackendErrorCode {
    return this.#isHanded ? BackendErrorCode.Timeout : BackendErrorCode.DeadlineBeforeSend;
  }

  /** Ends the attempt and closes its connection, so that a late answer cannot reach another. */
  #stop(code: BackendErrorCode, message: string): void {
    if (this.#isSettled) return;
    this.#fail(code, message);
    this.#controller?.abort(new Error(message));
  }

  #fail(code: BackendErrorCode, message: string, cause?: unknown): void {
    const text = `request ${this.#req.requestId} to ${this.#options.vm}: ${message}`;
    const err = this.#refusal ?? new BackendError(code, text, this.#isHanded, cause);
    this.#settle(Result.err(err));
  }

  #settle(result: ExchangeResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#deadlineTimer.cancel();
    this.#req.signal.removeEventListener('abort', this.#onAbort);
    this.#chunks.length = 0;
    this.#resolve(result);
  }
}

/** Smallest status of a final answer; smaller ones are informational. */
const FIRST_FINAL_STATUS = 200;
