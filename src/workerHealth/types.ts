import { BaseError } from '../errors/index.js';

/** Whether a worker gets new runs. */
export enum Standing {
  InUse = 'in_use',
  /** Gets no new runs. */
  SetAside = 'set_aside',
  /** Gets a single run at a time, until one succeeds. */
  OnTrial = 'on_trial',
}

/** Why a worker is set aside. */
export enum OutlierReason {
  /** Runs fail there that succeed elsewhere. */
  Failures = 'failures',
  /** Runs take several times as long as on the other workers. */
  Slow = 'slow',
  /** The run of a trial failed, or took too long. */
  Trial = 'trial',
}

/** Why a worker gets runs again. */
export enum ReturnReason {
  TrialSucceeded = 'trial_succeeded',
  /** No task was available for a trial. */
  NoTrial = 'no_trial',
  /** Too many workers were set aside, and this one was the least conspicuous. */
  Bound = 'bound',
}

/** How an observed run ended. */
export enum RunOutcome {
  Done = 'done',
  Failed = 'failed',
}

/** A run that a worker ended by itself. */
export interface EndedRun {
  worker: string;
  task: string;
  /** Names the step; its tasks are equal. */
  step: string;
  /** Names the kind of task; tasks of one kind behave alike. */
  kind: string;
  outcome: RunOutcome;
  /** Monotonic time in milliseconds. */
  startedAt: number;
  /**
   * Run time divided by the expected one; undefined if it says nothing about the speed of the
   * worker. A factor that is common to all runs has no effect.
   */
  ratio?: number;
  /** Whether it was started while the worker was on trial. */
  isTrial: boolean;
}

/** A run that has not ended, with its time so far divided by the expected one. */
export interface OpenRun {
  kind: string;
  startedAt: number;
  ratio: number;
  isTrial: boolean;
}

/** A worker of the pool that can run tasks. */
export interface JudgedWorker {
  id: string;
  /** Start time of its process; a change means a new incarnation. */
  bornMs: number;
  openRuns: OpenRun[];
}

/** What the steps of the pool need of its workers. */
export interface PoolNeeds {
  /** Number of workers that long-running steps can do without. */
  maxAway: number;
  /** Whether the other workers suffice for the labels that steps require. */
  canSpare: (worker: string) => boolean;
}

/** Evidence against one worker. */
export interface Evidence {
  reason: OutlierReason;
  /** Share of its work that is lost, from 0 to 1. */
  severity: number;
  /** Number of runs that the evidence rests on. */
  samples: number;
  /** Share of failed runs, or median ratio, of the worker. */
  own: number;
  /** The same for the other workers of the pool. */
  pool: number;
}

/** Settings of {@link WorkerHealth}. */
export interface HealthSettings {
  /** Age of runs from which they are not considered any more, in milliseconds. */
  windowMs: number;
  /** Maximum number of ended runs kept per worker. */
  maxRunsPerWorker: number;
  /** Maximum number of tasks and steps whose outcomes elsewhere are kept. */
  maxTasks: number;
  /** Runs of other workers without which a worker is not judged. */
  minOtherRuns: number;
  /** A run counts as slow above this multiple of the median ratio elsewhere. */
  slowFactor: number;
  /** A run that has not ended counts twice above this multiple. */
  stallFactor: number;
  /** Log-likelihood ratios above which a worker is an outlier. */
  failureThreshold: number;
  slowThreshold: number;
  /** First and maximum period for which a worker is set aside; doubled each time. */
  firstPeriodMs: number;
  maxPeriodMs: number;
  /** Time after a return after which the periods start anew. */
  forgetMs: number;
  /** Time on trial without a run after which a worker returns. */
  maxTrialWaitMs: number;
  /** Largest share of the pool that is set aside at once; at least one worker. */
  maxShare: number;
  /** Interval at which the workers are judged. */
  judgeIntervalMs: number;
  /** Minimum interval at which the opinion is stored. */
  storeIntervalMs: number;
  /** Age after which a stored opinion no longer counts. */
  opinionTtlMs: number;
}

/** Codes of {@link OpinionError}. */
export enum OpinionErrorCode {
  Malformed = 'malformed',
  Expired = 'expired',
}

/** A stored opinion cannot be used. */
export class OpinionError extends BaseError<OpinionErrorCode> {}
