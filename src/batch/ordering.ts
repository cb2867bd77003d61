import { criticalPathMs, isStepReady, remainingPathMs, type Job, type Step } from './job.js';
import type { Queue } from './types.js';

/** Multiple of the objective after which a late job is worth nothing more. Source: the rules. */
const OVERDUE_FACTOR = 3;

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
  /** Milliseconds that the job can still wait, or has waited when it is late. */
  slackMs: number;
}

/** Time in milliseconds within which a job is to have ended, from its acceptance. */
export function objectiveMsOf(job: Job, queue: Queue | undefined): number {
  const pathMs = criticalPathMs(job.spec.steps);
  return pathMs * (queue?.stretch ?? 1) + (queue?.objectiveMs ?? 0);
}

/**
 * Least slack first among the jobs that can still meet their objective, then the late ones from
 * the shortest remaining path on. Pattern: a peak of several times the room of a pool, in which
 * serving in order of arrival makes every job late.
 */
export function orderWaiting(
  jobs: Iterable<Job>,
  queueOf: (name: string) => Queue | undefined,
  now: number,
  wallMs: number,
): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    if (job.closedAs) continue;
    const queue = queueOf(job.spec.queue);
    const objectiveMs = objectiveMsOf(job, queue);
    for (const occurrence of job.occurrences.values()) {
      const sinceDueMs = wallMs - (job.spec.firstDueMs + occurrence.number * job.spec.periodMs);
      const ageMs = job.isTimed ? sinceDueMs : now - job.acceptedAt;
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
): { urgency: Urgency; slackMs: number } {
  if (step.spec.isLasting) return { urgency: Urgency.Lasting, slackMs: 0 };
  const slackMs = objectiveMs - ageMs - remainingMs;
  if (slackMs >= 0) return { urgency: Urgency.OnTime, slackMs };
  if (ageMs + remainingMs <= objectiveMs * OVERDUE_FACTOR) {
    return { urgency: Urgency.Late, slackMs: remainingMs };
  }
  return { urgency: Urgency.Overdue, slackMs: -ageMs };
}

function compareWaiting(a: WaitingStep, b: WaitingStep): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.slackMs - b.slackMs;
}
