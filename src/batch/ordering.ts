import {
  criticalPathMs,
  isStepReady,
  remainingPathMs,
  remainingWork,
  type Job,
  type Step,
} from './job.js';
import type { Queue } from './types.js';

/** Multiple of the objective after which a late job is worth nothing more. Source: the rules. */
const LATE_OBJECTIVES = 3;
/**
 * Weight of the time that a job keeps the whole pool busy, beside its slack. Source: benchmark
 * `peak_order`; from 1 to 4 the worth differs by at most 0.05, above that the largest jobs lose.
 */
const POOL_TIME_WEIGHT = 2;

/** Groups of waiting steps; an earlier group is placed before a later one. */
export enum Urgency {
  /** Tasks that serve their own users all the time. */
  Lasting = 0,
  /** The job can still meet its objective. */
  OnTime = 1,
  /** The job is late and still worth something. */
  Late = 2,
  /** The job is owed and nothing more. */
  Overdue = 3,
}

/** A step with tasks to place, and its place in the order. */
export interface WaitingStep {
  step: Step;
  urgency: Urgency;
  priority: number;
  /**
   * Smaller goes first within a group, in milliseconds: the time that the job can still wait, or
   * its remaining path when it is late, and the time for which it keeps the pool busy.
   */
  rankMs: number;
}

/** Time in milliseconds within which a job is to have ended, from its acceptance. */
export function objectiveOf(job: Job, queue: Queue | undefined): number {
  const path = criticalPathMs(job.spec.steps);
  return path * (queue?.stretch ?? 1) + (queue?.objectiveMs ?? 0);
}

/**
 * Least slack first among the jobs that can still meet their objective, small jobs sooner than
 * large ones of the same slack, then the late ones. Pattern: a peak of several times the room of a
 * pool, in which serving in order of arrival, or by slack alone, makes every job late.
 *
 * @param jobs - open jobs
 * @param queueOf - queue of a name, in the configuration in force
 * @param now - monotonic milliseconds
 * @param wallMs - Unix milliseconds
 * @param roomCpu - capacity of the pool in thousandths of a core
 */
export function orderWaiting(
  jobs: Iterable<Job>,
  queueOf: (name: string) => Queue | undefined,
  now: number,
  wallMs: number,
  roomCpu: number,
): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    if (job.closedAs) continue;
    const queue = queueOf(job.spec.queue);
    const objective = objectiveOf(job, queue);
    for (const occurrence of job.occurrences.values()) {
      const dueAgo = wallMs - (job.spec.firstDueMs + occurrence.number * job.spec.periodMs);
      const age = job.isTimed ? dueAgo : now - job.acceptedAt;
      let poolMs: number | undefined;
      for (const step of occurrence.steps) {
        if (step.idleCount === 0 || !isStepReady(step)) continue;
        const remaining = remainingPathMs(occurrence);
        poolMs ??= roomCpu > 0 ? remainingWork(occurrence) / roomCpu : 0;
        waiting.push({
          step,
          priority: queue?.priority ?? 0,
          ...urgencyOf(step, objective, age, remaining, poolMs * POOL_TIME_WEIGHT),
        });
      }
    }
  }
  return waiting.sort(compareWaiting);
}

function urgencyOf(
  step: Step,
  objective: number,
  age: number,
  remaining: number,
  poolMs: number,
): { urgency: Urgency; rankMs: number } {
  if (step.spec.isLasting) return { urgency: Urgency.Lasting, rankMs: 0 };
  const slackMs = objective - age - remaining;
  if (slackMs >= 0) return { urgency: Urgency.OnTime, rankMs: slackMs + poolMs };
  if (age + remaining <= objective * LATE_OBJECTIVES) {
    return { urgency: Urgency.Late, rankMs: remaining + poolMs };
  }
  return { urgency: Urgency.Overdue, rankMs: -age };
}

function compareWaiting(a: WaitingStep, b: WaitingStep): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.rankMs - b.rankMs;
}
