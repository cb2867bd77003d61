import {
  dominantShare,
  fairOrder,
  type AccountUsage,
  type JobTimes,
  type QueuedWork,
  type ResourceAmounts,
} from '../accounts/index.js';
import { criticalPathMs, isStepReady, remainingPathMs, type Job, type Step } from './job.js';
import { declaredMs, type PredictMs } from '../runTimes/index.js';
import type { JobSpec, QueueTerms, StepSpec } from './types.js';

/** Multiple of the objective beyond which a late job has no value, by the platform's rules. */
export const OVERDUE_FACTOR = 3;

/** Classes of waiting steps; a lower value is placed first. */
export enum Urgency {
  /** Long-running tasks, which serve their own users continuously. */
  Lasting = 0,
  /** The job can still meet its objective. */
  OnTime = 1,
  /** The job has missed its objective, but completing it still has value. */
  Late = 2,
  /** Like {@link OnTime}, for a job beyond its account's rate. */
  OnTimeBeyondRate = 3,
  /** Like {@link Late}, for a job beyond its account's rate. */
  LateBeyondRate = 4,
  /** Completing the job no longer has value, but it still has to be done. */
  Overdue = 5,
}

/** A step with tasks to place, and its sort keys. */
export interface WaitingStep {
  step: Step;
  urgency: Urgency;
  priority: number;
  /**
   * Sort key within a priority, lowest first, in milliseconds: the slack of a job that is on time,
   * the remaining path of a late one, the negated age of an overdue one.
   */
  sortKeyMs: number;
  /** Run time of the longest chain of unfinished steps, in milliseconds. */
  remainingMs: number;
}

/** How {@link orderWaiting} compares jobs. */
export interface OrderRules {
  /** Whether jobs beyond their account's rate come after the others; they do not by default. */
  hasAccounts?: boolean;
  /** Run times by which objectives and remaining paths are computed; the declared ones by default. */
  predictMs?: PredictMs;
}

/** Time in milliseconds within which a job should complete. */
export function objectiveMsOf(
  job: { spec: JobSpec },
  queue: QueueTerms | undefined,
  predictMs: PredictMs = declaredMs,
): number {
  const pathMs = criticalPathMs(job.spec, predictMs);
  return pathMs * (queue?.stretch ?? 1) + (queue?.objectiveMs ?? 0);
}

/** Times of a submitted job by which its admission is decided. */
export function jobTimesOf(
  spec: JobSpec,
  queue: QueueTerms | undefined,
  predictMs: PredictMs = declaredMs,
): JobTimes {
  const objectiveMs = objectiveMsOf({ spec }, queue, predictMs);
  const pathMs = criticalPathMs(spec, predictMs);
  return { pathMs, objectiveMs, valueMs: objectiveMs * OVERDUE_FACTOR };
}

/**
 * Orders the steps that have tasks to place: least slack first among jobs that can still meet their
 * objective, then late jobs by shortest remaining path. At a peak of several times the capacity of
 * a pool, serving jobs in order of arrival would make every job late.
 *
 * @param now - monotonic time in milliseconds
 * @param wallTimeMs - Unix time in milliseconds
 * @param rules - how jobs are compared
 */
export function orderWaiting(
  jobs: Iterable<Job>,
  queueOf: (name: string) => QueueTerms | undefined,
  now: number,
  wallTimeMs: number,
  { hasAccounts = false, predictMs = declaredMs }: OrderRules = {},
): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    if (job.finalState) continue;
    const queue = queueOf(job.spec.queue);
    const objectiveMs = objectiveMsOf(job, queue, predictMs);
    const isBeyondRate = hasAccounts && job.spec.isBeyondRate === true;
    for (const occurrence of job.occurrences.values()) {
      const sinceDueMs = wallTimeMs - (job.spec.firstDueMs + occurrence.number * job.spec.periodMs);
      const ageMs = job.hasSchedule ? sinceDueMs : now - job.acceptedAt;
      for (const step of occurrence.steps) {
        if (step.idleCount === 0 || !isStepReady(step)) continue;
        const remainingMs = remainingPathMs(occurrence, predictMs);
        waiting.push({
          step,
          priority: queue?.priority ?? 0,
          remainingMs,
          ...urgencyOf(step, { objectiveMs, ageMs, remainingMs, isBeyondRate }),
        });
      }
    }
  }
  return waiting.sort(compareWaiting);
}

function urgencyOf(
  step: Step,
  {
    objectiveMs,
    ageMs,
    remainingMs,
    isBeyondRate,
  }: { objectiveMs: number; ageMs: number; remainingMs: number; isBeyondRate: boolean },
): { urgency: Urgency; sortKeyMs: number } {
  if (step.spec.isLasting) return { urgency: Urgency.Lasting, sortKeyMs: 0 };
  const slackMs = objectiveMs - ageMs - remainingMs;
  if (slackMs >= 0) {
    const urgency = isBeyondRate ? Urgency.OnTimeBeyondRate : Urgency.OnTime;
    return { urgency, sortKeyMs: slackMs };
  }
  if (ageMs + remainingMs <= objectiveMs * OVERDUE_FACTOR) {
    const urgency = isBeyondRate ? Urgency.LateBeyondRate : Urgency.Late;
    return { urgency, sortKeyMs: remainingMs };
  }
  return { urgency: Urgency.Overdue, sortKeyMs: -ageMs };
}

function compareWaiting(a: WaitingStep, b: WaitingStep): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.sortKeyMs - b.sortKeyMs;
}

/** Largest number of turns in which the tasks of a step are placed; bounds the cost of a round. */
const MAX_TURNS = 64;
/** Smallest number of tasks in a turn. */
const MIN_TURN_SIZE = 4;

/** Number of tasks of a step that are placed before it is another account's turn. */
export function turnSize({ count }: StepSpec): number {
  return Math.max(MIN_TURN_SIZE, Math.ceil(count / MAX_TURNS));
}

/**
 * Yields ordered steps so that within each urgency and priority the account that holds least capacity
 * for its weight comes next. What a step is given must be added to the usage before the next step is
 * requested. A step of which a whole turn was placed comes again, so that a large one does not get
 * the capacity of all accounts at once.
 *
 * @param waiting - steps as ordered by {@link orderWaiting}
 */
export function* byAccount(waiting: readonly WaitingStep[], usage: AccountUsage): Generator<Step> {
  let idleBefore = 0;
  const ordered = fairOrder(waiting, {
    accountOf: ({ step }) => step.job.spec.account,
    isSameRank: (a, b) => a.urgency === b.urgency && a.priority === b.priority,
    compare: (a, b) => a.sortKeyMs - b.sortKeyMs,
    servedPerWeight: (account) => usage.sharePerWeight(account),
    hasMore: ({ step: { spec, idleCount } }) =>
      !spec.isGang && idleCount > 0 && idleBefore - idleCount >= turnSize(spec),
  });
  for (const { step } of ordered) {
    idleBefore = step.idleCount;
    yield step;
  }
}

/** Work of one task of a step, in milliseconds of the whole pool. */
export function taskWorkMs(
  { spec, job }: Pick<Step, 'spec' | 'job'>,
  pool: ResourceAmounts,
  predictMs: PredictMs = declaredMs,
): number {
  const needs = spec.fillsSpare ? { ...spec, cpuMillis: 0 } : spec;
  return dominantShare(needs, pool) * predictMs(spec, job.spec.queue);
}

/** The waiting work that is done before work without value; input for admission. */
export function queuedWork(
  waiting: Iterable<WaitingStep>,
  pool: ResourceAmounts,
  predictMs: PredictMs = declaredMs,
): QueuedWork[] {
  const queued: QueuedWork[] = [];
  for (const { step, urgency, priority, remainingMs } of waiting) {
    if (urgency === Urgency.Lasting || urgency === Urgency.Overdue) continue;
    queued.push({
      account: step.job.spec.account,
      isBeyondRate: urgency >= Urgency.OnTimeBeyondRate,
      isLate: urgency === Urgency.Late || urgency === Urgency.LateBeyondRate,
      priority,
      pathMs: remainingMs,
      workMs: step.idleCount * taskWorkMs(step, pool, predictMs),
    });
  }
  return queued;
}

/** Whether a step that can still be in time has tasks to place, after those that were placed. */
export function isWaitingInTime({ step, urgency }: WaitingStep): boolean {
  return urgency <= Urgency.OnTime && step.idleCount > 0;
}

/** Time in milliseconds that the job of a waiting step can lose; negative if it is late. */
export function slackMsOf({ urgency, sortKeyMs }: WaitingStep): number {
  if (urgency === Urgency.Lasting) return Infinity;
  const isOnTime = urgency === Urgency.OnTime || urgency === Urgency.OnTimeBeyondRate;
  return isOnTime ? sortKeyMs : -1;
}
