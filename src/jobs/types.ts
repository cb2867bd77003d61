import { BaseError } from '../errors/index.js';
import type { Condition } from '../platform/index.js';

/** Processors, memory and accelerators. */
export interface Resources {
  cores: number;
  memoryMib: number;
  accelerators: number;
}

/** A job as submitted. The sizes are declared and may be far off. */
export interface JobSpec extends Resources {
  /** Chosen by the caller; submitting the same id twice records one job. */
  id: string;
  team: string;
  /** Key under which resource use and run time are learned. */
  kind: string;
  urgent: boolean;
  /** Whether the work may run more than once. */
  idempotent: boolean;
  /** Opaque description of the work. */
  payload: unknown;
}

/** State of a job. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  /** Waits for a change outside, see {@link ParkReason}. */
  Parked = 'parked',
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Why a job is parked. */
export enum ParkReason {
  /** No worker of the zone's inventory is large enough. It is queued again when one is. */
  NoWorkerLargeEnough = 'no_worker_large_enough',
  /** A non-idempotent job may have run without leaving a result. Only a person can release it. */
  MayHaveRun = 'may_have_run',
}

/** One attempt at a job that may be running on a worker. */
export interface JobRun {
  taskId: string;
  vm: string;
  epoch: number;
  /** Object key that receives this attempt's result. */
  resultKey: string;
  /** Incarnation of the worker for which the attempt was recorded; no other starts it. */
  incarnation?: string;
  /** Runs beside a straggler and does not count as an attempt. */
  isDuplicate?: boolean;
}

/** A visible result. */
export interface JobResult {
  /** Key in the object store. */
  key: string;
  /** Length in bytes. */
  bytes: number;
  /** SHA-256 as hex digits. */
  sha256: string;
}

/** Value of the rows `job/<zone>/<id>` (open jobs) and `job-ended/<zone>/<id>`. */
export interface JobRecord extends JobSpec {
  zone: string;
  state: JobState;
  /** Wall-clock time of submission in milliseconds; for display only. */
  submittedAt: number;
  /** Attempts that may have run, planned interruptions not counted. */
  attempts: number;
  /** Largest lease epoch given to an attempt. */
  epoch: number;
  /** Attempts that may be running; two while a straggler is duplicated. */
  runs: JobRun[];
  /** Workers that failed this job; avoided while there are others. */
  avoid: string[];
  /** Object key of the checkpoint to resume from. */
  checkpoint?: string;
  parkReason?: ParkReason;
  /** Message of the last failed attempt. */
  error?: string;
  result?: JobResult;
  /** Identifies the last write of the row, so that a lost answer can be resolved. */
  writeId: string;
}

/** A worker as known from the configuration. */
export interface Worker extends Resources {
  vm: string;
  /** Whether it may get new tasks: up, not leaving, no stop or move under way. */
  usable: boolean;
}

/** Gives the lease condition of the zone controller, or undefined when the lease is not held. */
export type LeaseCondition = () => Condition | undefined;

/** Codes of {@link JobError}. */
export enum JobErrorCode {
  /** The job is malformed; nothing was recorded. */
  Invalid = 'invalid',
  UnknownTeam = 'unknown_team',
  /** The team's number of open jobs is at its limit; nothing was recorded. */
  TeamQuota = 'team_quota',
  /** No worker of the inventory is large enough; nothing was recorded. */
  TooLarge = 'too_large',
  /** Another job has this id; nothing was recorded. */
  IdInUse = 'id_in_use',
  /** The platform could not be used; nothing was recorded. */
  PlatformUnavailable = 'platform_unavailable',
  /** The call was sent and its effect could not be read back. Make the same call again. */
  OutcomeUnknown = 'outcome_unknown',
  NotFound = 'not_found',
  /** The job has no visible result. */
  NoResult = 'no_result',
  /** The stored result differs from the recorded length or checksum. */
  ResultDamaged = 'result_damaged',
  /** The job is not in a state that allows this. */
  WrongState = 'wrong_state',
}

/** A job operation failed. */
export class JobError extends BaseError<JobErrorCode> {}
