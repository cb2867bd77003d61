import { Result } from 'true-myth';
import { errors, type Dispatcher } from 'undici';
import type { Clock, Timer } from '../clock/index.js';
import { toError } from '../errors/index.js';
import {
  checkResponseComplete,
  checkResponseHeaders,
  flattenHeaders,
  notStartedError,
} from './responseChecks.js';
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
  /** Called when the request is passed to a connected socket. */
  onSend: () => void;
  /** Headers to send; computed immediately before sending because they hold the remaining time. */
  headers: Record<string, string>;
}

/**
 * Sends one request through a dispatcher and reads the complete response. The request may have run
 * from the moment the dispatcher passes it to a connected socket.
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
  #isSent = false;
  #isSettled = false;
  #status = 0;
  #headers: Record<string, string> = {};
  #receivedBytes = 0;
  /** Set once the backend server confirmed that it did not start the request. */
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
      this.#abort(BackendErrorCode.Cancelled, 'cancelled by the caller');
    };
    const remainingMs = req.deadline - options.clock.now();
    this.#deadlineTimer = options.clock.setTimer(Math.max(0, remainingMs), () => {
      this.#abort(this.#deadlineCode(), 'deadline exceeded');
    });
    req.signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  start(dispatcher: Dispatcher): void {
    const { path, method, body } = this.#req;
    const { headers } = this.#options;
    try {
      // The deadline limits the wait for the response; the dispatcher's own timeouts are disabled.
      const timeouts = { headersTimeout: 0, bodyTimeout: 0 };
      const bodyOrNull = body.length > 0 ? body : null;
      const requestOptions = { path, method, headers, body: bodyOrNull };
      dispatcher.dispatch({ ...requestOptions, ...timeouts }, this);
    } catch (err) {
      this.#fail(BackendErrorCode.InvalidRequest, toError(err).message, err);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSettled) {
      controller.abort(new Error('attempt has already ended'));
    } else if (this.#req.deadline <= this.#options.clock.now()) {
      this.#abort(BackendErrorCode.DeadlineBeforeSend, 'deadline exceeded before sending');
    } else {
      this.#isSent = true;
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
    this.#refusal = notStartedError(this.#req.requestId, status, this.#headers);
    if (this.#refusal) return;
    const invalid = checkResponseHeaders(this.#req, this.#headers, this.#options.maxAnswerBytes);
    if (invalid) this.#abort(invalid.code, invalid.message);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#options.maxAnswerBytes) {
      const message = `response body exceeds ${this.#options.maxAnswerBytes} bytes`;
      this.#abort(BackendErrorCode.Oversize, message);
    } else this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.#refusal) {
      this.#settle(Result.err(this.#refusal));
      return;
    }
    const invalid = checkResponseComplete(
      this.#req,
      this.#status,
      this.#headers,
      this.#receivedBytes,
    );
    if (invalid) {
      this.#fail(invalid.code, invalid.message);
      return;
    }
    const body = Buffer.concat(this.#chunks);
    this.#settle(Result.ok({ status: this.#status, headers: this.#headers, body }));
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const isInvalid = err instanceof errors.InvalidArgumentError && !this.#isSent;
    const code = isInvalid ? BackendErrorCode.InvalidRequest : this.#connectionErrorCode();
    this.#fail(code, err.message, err);
  }

  #connectionErrorCode(): BackendErrorCode {
    if (!this.#isSent) return BackendErrorCode.ConnectFailed;
    return this.#status > 0 ? BackendErrorCode.Truncated : BackendErrorCode.ConnectionLost;
  }

  #deadlineCode(): BackendErrorCode {
    return this.#isSent ? BackendErrorCode.Timeout : BackendErrorCode.DeadlineBeforeSend;
  }

  /** Fails the attempt and closes its connection, so a late response reaches no other request. */
  #abort(code: BackendErrorCode, message: string): void {
    if (this.#isSettled) return;
    this.#fail(code, message);
    this.#controller?.abort(new Error(message));
  }

  #fail(code: BackendErrorCode, message: string, cause?: unknown): void {
    const text = `request ${this.#req.requestId} to ${this.#options.vm}: ${message}`;
    const err = this.#refusal ?? new BackendError(code, text, this.#isSent, cause);
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

/** Lowest status of a final response; lower ones are informational. */
const FIRST_FINAL_STATUS = 200;
