import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { Outcome } from '../peers/index.js';
import type { Random } from '../random/index.js';
import type { RequestsSettings } from './defaults.js';
import { reasonRegistry } from './reasons.js';
import { RetryDenial, type RequestMetrics } from './requestMetrics.js';
import { backoffMs, type RetryBudget } from './retryBudget.js';
import type { RequestError } from './types.js';
import type { Attempt, AttemptResult, Work } from './work.js';

/** Parameters of {@link runWithRetries}. */
export interface RetryDeps {
  clock: Clock;
  random: Random;
  settings: RequestsSettings;
  budget: RetryBudget;
  metrics: RequestMetrics;
}

/**
 * Repeats an attempt within the retry budget and the deadline. Attempts that may have run are
 * repeated only for idempotent requests.
 *
 * @returns the end of the last attempt, or of the last one that may have run if there is one
 */
export async function runWithRetries(
  deps: RetryDeps,
  work: Work,
  attempt: Attempt,
): Promise<AttemptResult> {
  let uncertain: RequestError | undefined;
  for (let retry = 0; ; retry += 1) {
    const result = await attempt(work);
    if (result.isOk) return result;
    if (result.error.outcome === Outcome.Unknown) uncertain = result.error;
    const end: AttemptResult = Result.err(uncertain ?? result.error);
    if (!isRetried(result.error, work)) return end;
    const delayMs = backoffMs(deps.random, deps.settings, retry);
    const denial = denialOf(deps, work, retry, delayMs);
    if (denial) {
      deps.metrics.retriesDenied.inc({ denial });
      return end;
    }
    if (!(await deps.clock.sleep(delayMs, work.signal))) return end;
    deps.metrics.retries.inc({ reason: result.error.code });
  }
}

function isRetried(err: RequestError, work: Work): boolean {
  if (!reasonRegistry[err.code].retried) return false;
  return err.outcome === Outcome.NotRun || work.idempotent;
}

function denialOf(
  { clock, settings, budget }: RetryDeps,
  work: Work,
  retry: number,
  delayMs: number,
): RetryDenial | undefined {
  if (retry + 1 >= settings.maxAttempts) return RetryDenial.Attempts;
  if (clock.now() + delayMs >= work.deadline) return RetryDenial.Deadline;
  return budget.tryTake() ? undefined : RetryDenial.Budget;
}
