import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import { Outcome } from '../peers/index.js';
import { reasonRegistry, type RequestReason } from './reasons.js';

/** A parsed caller request. */
export interface CallerRequest {
  service: string;
  team: string;
  method: string;
  /** Path and query relative to the service, starting with a slash. */
  path: string;
  /** End-to-end headers in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
  urgent: boolean;
  idempotent: boolean;
  /** Monotonic time in milliseconds. */
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** Issued in advance by {@link RequestRouter.issueIds} of any entry process. */
  requestId?: string;
  /** Chosen by the caller; unique per team. */
  idempotencyKey?: string;
  /**
   * Whether the caller declares that no earlier attempt with this key can have run. Without this
   * declaration the outcome is unknown if the key cannot be looked up, because an earlier attempt
   * may have run elsewhere.
   */
  firstAttempt?: boolean;
}

/** The complete response to a caller request. */
export interface CallerAnswer {
  requestId: string;
  status: number;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** Details of a {@link RequestError}. */
export interface RequestErrorDetails {
  outcome?: Outcome;
  retryAfterMs?: number;
  requestId?: string;
  cause?: unknown;
}

/** A request that ended without a response from a backend server. */
export class RequestError extends BaseError<RequestReason> {
  /** `NotRun` only if the request certainly did not run. */
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** Suggested retry delay in milliseconds; 0 if retrying the same request cannot succeed. */
  readonly retryAfterMs: number;
  readonly requestId?: string;

  /**
   * @param reason - supplies the outcome and the retry delay that `details` omits
   * @param message - describes the failure
   * @param details - outcome, retry delay in milliseconds, request id and cause
   */
  constructor(reason: RequestReason, message: string, details: RequestErrorDetails = {}) {
    super(reason, message, details.cause);
    const info = reasonRegistry[reason];
    const outcome = details.outcome ?? info.outcomes[0];
    this.outcome = outcome === Outcome.NotRun ? Outcome.NotRun : Outcome.Unknown;
    this.retryAfterMs = details.retryAfterMs ?? info.retryAfterMs;
    this.requestId = details.requestId;
  }
}

/** The complete response, or an error that states whether the request may have run. */
export type RequestResult = Result<CallerAnswer, RequestError>;

/** Runs caller requests and returns exactly one result for each. */
export interface RequestRouter {
  /** Runs a request to its result. The promise never rejects. */
  handle(req: CallerRequest): Promise<RequestResult>;
  /**
   * Issues request ids that callers attach to later requests.
   *
   * @param team - the only team that may use the ids
   * @param count - number of ids, at most `maxIdsPerCall` of the settings
   */
  issueIds(team: string, count: number): Result<string[], RequestError>;
  /** Creates an id for the response to a request that is refused before {@link handle}. */
  newRequestId(): string;
  /** Number of requests in progress, including forwarded ones. */
  inFlight(): number;
  /** Refuses new requests and resolves when those in progress have ended. */
  close(): Promise<void>;
}
