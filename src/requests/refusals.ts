import { Result } from 'true-myth';
import { Outcome } from '../peers/index.js';
import type { RequestReason } from './reasons.js';
import { RequestError, type CallerRequest, type RequestErrorDetails } from './types.js';

/** The parts of a request that say whether an earlier attempt may have run. */
export type AttemptIdentity = Pick<
  CallerRequest,
  'requestId' | 'idempotencyKey' | 'idempotent' | 'firstAttempt'
>;

/** Whether the request may run at most once, under an id or key that other attempts may carry. */
export function requiresDeduplication(req: AttemptIdentity): boolean {
  return !req.idempotent && (req.requestId ?? req.idempotencyKey) !== undefined;
}

/** Whether no earlier attempt under the same id or key may have run. */
export function isFirstAttempt(req: AttemptIdentity): boolean {
  return req.firstAttempt === true || !requiresDeduplication(req);
}

/**
 * Refuses a request before its record was consulted. Where an earlier attempt under the same id or
 * key may have run, the outcome is unknown.
 */
export function refuseBeforeLookup(
  req: AttemptIdentity,
  reason: RequestReason,
  message: string,
): RequestError {
  return new RequestError(reason, message, { outcome: outcomeIfNotSent(isFirstAttempt(req)) });
}

/** The outcome of a request that was not sent: not-run, if no earlier attempt may have run. */
export function outcomeIfNotSent(isFirst: boolean): Outcome {
  return isFirst ? Outcome.NotRun : Outcome.Unknown;
}

/** An error result; the type parameter of the value is left to the caller. */
export function errorResult(
  reason: RequestReason,
  message: string,
  details: RequestErrorDetails = {},
): Result<never, RequestError> {
  return Result.err(new RequestError(reason, message, details));
}
