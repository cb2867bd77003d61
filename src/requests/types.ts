import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import { Outcome } from '../peers/index.js';
import { reasonRegistry, type RequestReason } from './reasons.js';

/** A parsed request of a caller. */
export interface CallerRequest {
  service: string;
  team: string;
  method: string;
  /** Path and query below the service, starting with a slash. */
  path: string;
  /** End-to-end headers in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
  urgent: boolean;
  idempotent: boolean;
  /** Monotonic time in milliseconds. */
  deadline: number;
  /** Aborted when the caller goes away. */
  signal: AbortSignal;
  /** Issued beforehand by {@link RequestRouter.issueIds} of any entry process. */
  requestId?: string;
  /** Chosen by the caller; unique per team. */
  idempotencyKey?: string;
  /**
   * The caller declares that no earlier attempt with this key may have run. Without it, a key that
   * cannot be looked up ends as unknown, since an earlier attempt may have run elsewhere.
   */
  firstAttempt?: boolean;
}

/** The whole answer to a caller's own request. */
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

/** A request ended without an answer of a backend server. */
export class RequestError extends BaseError<RequestReason> {
  /** NotRun only when the request certainly did not run. */
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** When to come back, in milliseconds; 0 when repeating the same request is useless. */
  readonly retryAfterMs: number;
  readonly requestId?: string;

  /**
   * @param reason - determines outcome and delay where the details leave them out
   * @param message - names what was found
   * @param details - outcome, delay in milliseconds, request id and cause
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

/** How a request ends: the whole answer, or an error that says whether it ran. */
export type RequestResult = Result<CallerAnswer, RequestError>;

/** Takes requests of callers to their one end. */
export interface RequestRouter {
  /** Ends a request. Never rejects. */
  handle(req: CallerRequest): Promise<RequestResult>;
  /**
   * Issues request ids that callers attach to later requests.
   *
   * @param team - the only team that may use the ids
   * @param count - number of ids, within the bound of the settings
   */
  issueIds(team: string, count: number): Result<string[], RequestError>;
  /** A fresh id for the answer to a request that is refused before {@link handle}. */
  newRequestId(): string;
  /** Requests that have not ended yet, forwarded ones included. */
  inFlight(): number;
  /** Refuses new requests and resolves when those in flight have ended. */
  close(): Promise<void>;
}
