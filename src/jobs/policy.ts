import type { JobsSettings } from './defaults.js';
import type { JobRecord, Resources } from './types.js';

/** Why an attempt ended without a result. */
export enum RunEnd {
  /** The worker refused to start the task. */
  StartRefused = 'start_refused',
  /** The start call was not sent, or was rejected by a worker with another incarnation. */
  NotSent = 'not_sent',
  /** The task ended with a checkpoint. */
  Interrupted = 'interrupted',
  /** The worker reported that the task failed. */
  Failed = 'failed',
  /** The worker stopped the task, on request or because its lease lapsed. */
  Stopped = 'stopped',
  /** The worker has not restarted, never started the task, and will refuse a late start. */
  NeverStarted = 'never_started',
  /** The worker does not know the task and may have restarted. */
  Vanished = 'vanished',
  /** The worker is unreachable and the task's lease has lapsed. */
  LeaseLapsed = 'lease_lapsed',
  /** The start call got no response; an urgent idempotent job is retried without waiting. */
  Abandoned = 'abandoned',
}

/** Ends that do not count as attempts: the task never started or can resume from its checkpoint. */
export const uncountedEnds: ReadonlySet<RunEnd> = new Set([
  RunEnd.StartRefused,
  RunEnd.NotSent,
  RunEnd.NeverStarted,
  RunEnd.Interrupted,
]);

/** Decisions of the job controller, replaceable so that tests can inject faulty ones. */
export interface JobPolicy {
  /** Whether a job may run again after an attempt that ended with `end`. */
  mayRunAgain(job: JobRecord, end: RunEnd): boolean;
  /** Whether a task's lease has lapsed for so long that its worker must have stopped the task. */
  hasLeaseLapsed(sinceRenewalMs: number, settings: JobsSettings): boolean;
  /** Resources to allocate for a job, given its declared resources and learned usage. */
  requirement(declared: Resources, learned: Resources | undefined): Resources;
  /** Whether a task runs much longer than the mean of its kind. */
  isStraggler(ranMs: number, meanMs: number | undefined, settings: JobsSettings): boolean;
  /** Whether a task may still be started `ageMs` after it was placed. */
  mayStart(ageMs: number, settings: JobsSettings): boolean;
}

/** Policy used in production. */
export const defaultJobPolicy: JobPolicy = {
  mayRunAgain: (job, end) => job.idempotent || uncountedEnds.has(end),
  hasLeaseLapsed: (sinceRenewalMs, { leaseMs, leaseMarginMs }) =>
    sinceRenewalMs > leaseMs + leaseMarginMs,
  requirement: (declared, learned) => learned ?? declared,
  isStraggler: (ranMs, meanMs, { stragglerFactor }) =>
    meanMs !== undefined && ranMs > meanMs * stragglerFactor,
  mayStart: (ageMs, { startWindowMs }) => ageMs <= startWindowMs,
};
