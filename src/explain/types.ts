import type { Result } from 'true-myth/result';
import type { HeldReason, KeyRefusalReason } from '../accounts/index.js';
import type { HolderCallErrorCode } from '../batch/holderDirectory.js';
import type { TaskObstacle } from '../batch/placement.js';
import type { BatchError, JobSpec, RefusalReason } from '../batch/types.js';
import type { WorkerObstacle } from '../batch/worker.js';
import type { PlaceReason } from '../places/index.js';

/** What would be done with a job now. */
export enum ExplainOutcome {
  /** It would be accepted, and all tasks that may start would start at once. */
  Placed = 'placed',
  /** It would be accepted, and some of these tasks would wait. */
  Waits = 'waits',
  Refused = 'refused',
  /** The key is missing, unknown, or cannot be checked. */
  Unauthorized = 'unauthorized',
  /** No queue has the host and the path. */
  NoQueue = 'no_queue',
  /** The job is malformed. */
  Invalid = 'invalid',
  /** The asked node, or the holder, cannot tell. */
  Unknown = 'unknown',
}

/** What an explanation cannot tell. */
export enum Unknown {
  /** The asked node has no configuration yet. */
  NoConfig = 'no_config',
  /** No holder answered, so nothing is known of admission, order and workers. */
  HolderUnreachable = 'holder_unreachable',
  /** Only the advice service knows which workers it approves, and it was not asked. */
  Tickets = 'tickets',
  /** The holder requests a larger grant at once, and the store's row decides what it gets. */
  Grant = 'grant',
  /** A Retry-After has up to a quarter of its length added at random. */
  RetryJitter = 'retry_jitter',
  /** The holder has another configuration in force than the asked node. */
  OtherConfig = 'other_config',
  /** Occurrences that are not due yet are placed by the state at that time. */
  Schedule = 'schedule',
  /** Jobs of an earlier holder wait until their runs are known, and are left out of the order. */
  InheritedJobs = 'inherited_jobs',
}

/** Why a task would wait. */
export enum WaitReason {
  /** The holder may start nothing now. */
  HolderMayNotStart = 'holder_may_not_start',
  /** Start orders in flight are at their limit. */
  StartWindow = 'start_window',
  /** The step has no tickets of the advice service yet. */
  Tickets = 'tickets',
  /** The limit of the account. */
  AccountLimit = 'account_limit',
  /** A rack on which the task runs faster. */
  Rack = 'rack',
  /** No worker can run it beside what runs and what is placed before it. */
  Worker = 'worker',
}

/** Where a task would go. */
export interface TaskPlace {
  step: number;
  task: number;
  /** Id of the worker; undefined if the task would wait. */
  worker?: string;
  waitsFor?: WaitReason;
  /** Detail of the reason. */
  reason?: HeldReason | PlaceReason;
  /** Rack that it would wait for. */
  rack?: string;
  /** Expected wait for the rack in milliseconds. */
  waitMs?: number;
}

/** Workers that would not get a further task of a step, by reason. */
export interface LeftOutWorkers {
  step: number;
  reasons: Partial<Record<WorkerObstacle | TaskObstacle, number>>;
}

/** A waiting step that is placed before the job. */
export interface StepAhead {
  job: string;
  step: number;
  account?: string;
  tasks: number;
}

/** Answer of the holder of a service. */
export interface HolderExplanation {
  service: string;
  configVersion?: number;
  isAccepted: boolean;
  refusal?: { reason: RefusalReason; retryAfterMs: number; workAheadMs?: number };
  /** Whether the job would be beyond the rate of its account; undefined if rates do not apply. */
  isBeyondRate?: boolean;
  /** Number of waiting steps that are placed before the first one of the job. */
  stepsAhead: number;
  /** Number of waiting steps of all jobs, without those of the job. */
  waitingSteps: number;
  /** The first of the steps ahead. */
  ahead: StepAhead[];
  /** Number of tasks of the steps that could start at once. */
  startableTasks: number;
  startedTasks: number;
  tasks: TaskPlace[];
  leftOut: LeftOutWorkers[];
  workers: number;
  unknown: Unknown[];
  /** Ages of the input in milliseconds. */
  ages: {
    /** Last reading of jobs that were accepted through the store. */
    inboxMs?: number;
    /** Last placement round. */
    roundMs?: number;
    /** Longest time since a worker that accepts runs has responded. */
    oldestWorkerMs?: number;
  };
}

/** What would be done with a job, as the asked node reports it. */
export interface JobExplanation {
  outcome: ExplainOutcome;
  node: string;
  configVersion?: number;
  queue?: string;
  service?: string;
  isPublic?: boolean;
  account?: string;
  /** Why the key is not accepted. */
  keyProblem?: KeyRefusalReason;
  /** What is wrong with the job. */
  problem?: string;
  /** Address of the holder's node. */
  holder?: string;
  /** Why the holder did not answer. */
  holderProblem?: HolderCallErrorCode;
  refusal?: { reason: RefusalReason | KeyRefusalReason; retryAfterMs?: number };
  /** Answer of the holder; undefined if it was not asked or did not answer. */
  job?: HolderExplanation;
  unknown: Unknown[];
  /** Time since the configuration was certainly the newest, in milliseconds; if it ever was. */
  configAgeMs?: number;
  /** Duration of the call to the holder, in milliseconds. */
  holderCallMs?: number;
}

/** Fields of a job that the asked node determines. */
export type ExplainIdentity = Pick<JobSpec, 'id' | 'queue' | 'acceptedMs' | 'account'>;

/** A question that {@link JobExplanation} answers. */
export interface ExplainRequest {
  host: string;
  path: string;
  /** Key of the caller's account; never part of an answer. */
  key?: string | Uint8Array;
  /** Decodes the body of the job. */
  decode: (identity: ExplainIdentity) => Result<JobSpec, BatchError>;
}
