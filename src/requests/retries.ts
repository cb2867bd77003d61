import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { Outcome } from '../peers/index.js';
import type { Random } from '../random/index.js';
import type { Attempt, AttemptResult, RoutedRequest } from './attempt.js';
import type { RequestsSettings } from './defaults.js';
import { reasonRegistry } from './reasons.js';
import { RetryDenial, type RequestMetrics } from './requestMetrics.js';
import { backoffMs, type RetryBudget } from './retryBudget.js';
import type { RequestError } from './types.js';

/** Parameters of {@link runWithRetries}. */
export interface RetryDeps {
  clock: Clock;
  random: Random;
  settings: RequestsSettings;
  budget: RetryBudget;
  metrics: RequestMetrics;
}

/**
 * Makes an attempt and retries it within the retry budget and the deadline. Attempts that may have
 * run are retried only for idempotent requests.
 *
 * @returns a response; otherwise the error of the last attempt that may have run, if there is one;
 *   otherwise the error of the last attempt
 */
export async function runWithRetries(
  deps: RetryDeps,
  req: RoutedRequest,
  attempt: Attempt,
): Promise<AttemptResult> {
  let unknownOutcome: RequestError | undefined;
  for (let retry = 0; ; retry += 1) {
    const result = await attempt(req);
    if (result.isOk) return result;
    if (result.error.outcome === Outcome.Unknown) unknownOutcome = result.error;
    const finalResult: AttemptResult = Result.err(unknownOutcome ?? result.error);
    if (!isRetryable(result.error, req)) return finalResult;
    const delayMs = backoffMs(deps.random, deps.settings, retry);
    const denial = findDenial(deps, req, retry, delayMs);
    if (denial) {
      deps.metrics.retriesDenied.inc({ denial });
      return finalResult;
    }
    if (!(await deps.clock.sleep(delayMs, req.signal))) return finalResult;
    deps.metrics.retries.inc({ reason: result.error.code });
  }
}

function isRetryable(err: RequestError, req: RoutedRequest): boolean {
  if (!reasonRegistry[err.code].retryable) return false;
  return err.outcome === Outcome.NotRun || req.idempotent;
}

function findDenial(
  { clock, settings, budget }: RetryDeps,
  req: RoutedRequest,
  retry: number,
  delayMs: number,
): RetryDenial | undefined {
  if (retry + 1 >= settings.maxAttempts) return RetryDenial.Attempts;
  if (clock.now() + delayMs >= req.deadline) return RetryDenial.Deadline;
  return budget.tryTake() ? undefined : RetryDenial.Budget;
}
