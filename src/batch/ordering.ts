import { criticalPathMs, isStepReady, remainingPathMs, type Job, type Step } from './job.js';
import type { Queue } from './types.js';

/** Multiple of the objective beyond which a late job has no value, by the platform's rules. */
const OVERDUE_FACTOR = 3;

/** Classes of waiting steps; a lower value is placed first. */
export enum Urgency {
  /** Long-running tasks, which serve their own users continuously. */
  Lasting = 0,
  /** The job can still meet its objective. */
  OnTime = 1,
  /** The job has missed its objective, but completing it still has value. */
  Late = 2,
  /** Completing the job no longer has value, but it still has to be done. */
  Overdue = 3,
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
}

/** Time in milliseconds within which a job should complete. */
export function objectiveMsOf(job: Job, queue: Queue | undefined): number {
  const pathMs = criticalPathMs(job.spec.steps);
  return pathMs * (queue?.stretch ?? 1) + (queue?.objectiveMs ?? 0);
}

/**
 * Orders the steps that have tasks to place: least slack first among jobs that can still meet their
 * objective, then late jobs by shortest remaining path. At a peak of several times the capacity of
 * a pool, serving jobs in order of arrival would make every job late.
 *
 * @param now - monotonic time in milliseconds
 * @param wallTimeMs - Unix time in milliseconds
 */
export function orderWaiting(
  jobs: Iterable<Job>,
  queueOf: (name: string) => Queue | undefined,
  now: number,
  wallTimeMs: number,
): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    if (job.finalState) continue;
    const queue = queueOf(job.spec.queue);
    const objectiveMs = objectiveMsOf(job, queue);
    for (const occurrence of job.occurrences.values()) {
      const sinceDueMs = wallTimeMs - (job.spec.firstDueMs + occurrence.number * job.spec.periodMs);
      const ageMs = job.hasSchedule ? sinceDueMs : now - job.acceptedAt;
      for (const step of occurrence.steps) {
        if (step.idleCount === 0 || !isStepReady(step)) continue;
        const remainingMs = remainingPathMs(occurrence);
        waiting.push({
          step,
          priority: queue?.priority ?? 0,
          ...urgencyOf(step, objectiveMs, ageMs, remainingMs),
        });
      }
    }
  }
  return waiting.sort(compareWaiting);
}

function urgencyOf(
  step: Step,
  objectiveMs: number,
  ageMs: number,
  remainingMs: number,
): { urgency: Urgency; sortKeyMs: number } {
  if (step.spec.isLasting) return { urgency: Urgency.Lasting, sortKeyMs: 0 };
  const slackMs = objectiveMs - ageMs - remainingMs;
  if (slackMs >= 0) return { urgency: Urgency.OnTime, sortKeyMs: slackMs };
  if (ageMs + remainingMs <= objectiveMs * OVERDUE_FACTOR) {
    return { urgency: Urgency.Late, sortKeyMs: remainingMs };
  }
  return { urgency: Urgency.Overdue, sortKeyMs: -ageMs };
}

function compareWaiting(a: WaitingStep, b: WaitingStep): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.sortKeyMs - b.sortKeyMs;
}

/** Time in milliseconds that the job of a waiting step can lose; negative if it is late. */
export function slackMsOf({ urgency, sortKeyMs }: WaitingStep): number {
  if (urgency === Urgency.Lasting) return Infinity;
  return urgency === Urgency.OnTime ? sortKeyMs : -1;
}
