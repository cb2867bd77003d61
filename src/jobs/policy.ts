import type { JobsSettings } from './defaults.js';
import type { JobRecord, Resources } from './types.js';

/** How an attempt ended without a result. */
export enum RunEnd {
  /** The worker refused to start it. */
  StartRefused = 'start_refused',
  /** The start call was not sent. */
  NotSent = 'not_sent',
  /** Ended with a checkpoint. */
  Interrupted = 'interrupted',
  /** The worker reported a failure. */
  Failed = 'failed',
  /** The worker stopped it, on request or because its lease lapsed. */
  Stopped = 'stopped',
  /** The worker, not restarted since, never started it and refuses to from now on. */
  NeverStarted = 'never_started',
  /** The worker does not know it and may have restarted. */
  Vanished = 'vanished',
  /** The worker does not answer and the lease has lapsed. */
  LeaseLapsed = 'lease_lapsed',
  /** The start call got no answer and the urgent, idempotent job does not wait. */
  Abandoned = 'abandoned',
}

/** Ends that use up no attempt: the task never started, or continues from its checkpoint. */
export const uncountedEnds: ReadonlySet<RunEnd> = new Set([
  RunEnd.StartRefused,
  RunEnd.NotSent,
  RunEnd.NeverStarted,
  RunEnd.Interrupted,
]);

/** Decisions of the controller as functions, so that a test can replace one by a faulty variant. */
export interface JobPolicy {
  /** Whether a job may get another attempt after one ended like this. */
  mayRunAgain(job: JobRecord, end: RunEnd): boolean;
  /** Whether a worker has certainly stopped a task, given the time since the last renewal. */
  hasLeaseLapsed(sinceRenewalMs: number, settings: JobsSettings): boolean;
  /** Resources to count with, from declared size and learned use. */
  requirement(declared: Resources, learned: Resources | undefined): Resources;
  /** Whether a task has run for so long that it is a straggler. */
  isStraggler(ranMs: number, meanMs: number | undefined, settings: JobsSettings): boolean;
  /** Whether a placement of this age may still be started. */
  mayStart(ageMs: number, settings: JobsSettings): boolean;
}

/** The controller's own decisions. */
export const defaultJobPolicy: JobPolicy = {
  mayRunAgain: (job, end) => job.idempotent || uncountedEnds.has(end),
  hasLeaseLapsed: (sinceRenewalMs, { leaseMs, leaseMarginMs }) =>
    sinceRenewalMs > leaseMs + leaseMarginMs,
  requirement: (declared, learned) => learned ?? declared,
  isStraggler: (ranMs, meanMs, { stragglerFactor }) =>
    meanMs !== undefined && ranMs > meanMs * stragglerFactor,
  mayStart: (ageMs, { startWindowMs }) => ageMs <= startWindowMs,
};
