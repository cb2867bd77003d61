import { Result } from 'true-myth';
import { Outcome } from '../peers/index.js';
import type { RequestReason } from './reasons.js';
import { RequestError, type CallerRequest, type RequestErrorDetails } from './types.js';

/** The fields of a request that determine whether an earlier attempt may have run. */
export type AttemptIdentity = Pick<
  CallerRequest,
  'requestId' | 'idempotencyKey' | 'idempotent' | 'firstAttempt'
>;

/** Whether the request must run at most once across all attempts with the same id or key. */
export function requiresDeduplication(req: AttemptIdentity): boolean {
  return !req.idempotent && (req.requestId ?? req.idempotencyKey) !== undefined;
}

/** Whether no earlier attempt with the same id or key can have run. */
export function isFirstAttempt(req: AttemptIdentity): boolean {
  return req.firstAttempt === true || !requiresDeduplication(req);
}

/**
 * Creates the error for a request that is refused before its ledger record is looked up. The
 * outcome is unknown if an earlier attempt with the same id or key may have run.
 */
export function refuseBeforeLookup(
  req: AttemptIdentity,
  reason: RequestReason,
  message: string,
): RequestError {
  return new RequestError(reason, message, { outcome: outcomeIfNotSent(isFirstAttempt(req)) });
}

/** The outcome of a request that was not sent: not-run only if no earlier attempt can have run. */
export function outcomeIfNotSent(isFirst: boolean): Outcome {
  return isFirst ? Outcome.NotRun : Outcome.Unknown;
}

/** Creates an error result that is assignable to a result of any value type. */
export function errorResult(
  reason: RequestReason,
  message: string,
  details: RequestErrorDetails = {},
): Result<never, RequestError> {
  return Result.err(new RequestError(reason, message, details));
}
