import { BaseError } from '../errors/index.js';
import type { Condition } from '../platform/index.js';

/** Amounts of CPU cores, memory and accelerators. */
export interface Resources {
  cores: number;
  memoryMib: number;
  accelerators: number;
}

/** A job as submitted. Callers declare the resources, which may differ widely from actual usage. */
export interface JobSpec extends Resources {
  /** Chosen by the caller; submitting the same job again under this id records nothing new. */
  id: string;
  team: string;
  /** Groups similar jobs; resource usage and run time are learned per kind. */
  kind: string;
  urgent: boolean;
  /** Whether the job may safely run more than once. */
  idempotent: boolean;
  /** Passed to the worker without being interpreted. */
  payload: unknown;
}

/** State of a job. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  /** Not placed until an external condition changes; see {@link ParkReason}. */
  Parked = 'parked',
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Why a job is parked. */
export enum ParkReason {
  /** No worker in the zone's inventory is large enough; the job is requeued once one is. */
  NoWorkerLargeEnough = 'no_worker_large_enough',
  /** A non-idempotent job may have run without leaving a result; it must be released manually. */
  MayHaveRun = 'may_have_run',
}

/** One attempt at a job that may be running on a worker. */
export interface JobRun {
  taskId: string;
  vm: string;
  epoch: number;
  /** Object store key to which this attempt writes its result. */
  resultKey: string;
  /** Incarnation of the worker when the attempt was recorded; a later incarnation refuses it. */
  incarnation?: string;
  /** Speculative copy of a straggler; not counted in {@link JobRecord.attempts}. */
  isDuplicate?: boolean;
}

/** Location and checksum of a job's result. */
export interface JobResult {
  /** Key in the object store. */
  key: string;
  /** Length in bytes. */
  bytes: number;
  /** SHA-256 in hexadecimal. */
  sha256: string;
}

/** Value of the rows `job/<zone>/<id>` (open jobs) and `job-ended/<zone>/<id>`. */
export interface JobRecord extends JobSpec {
  zone: string;
  state: JobState;
  /** Wall-clock time of submission in milliseconds; also determines when an ended job expires. */
  submittedAt: number;
  /** Attempts that may have run, not counting duplicates and planned interruptions. */
  attempts: number;
  /** Highest task lease epoch assigned to an attempt. */
  epoch: number;
  /** Attempts that may be running: one, or two while a straggler has a duplicate. */
  runs: JobRun[];
  /** VMs whose workers failed this job; used again only if no other worker has capacity. */
  avoid: string[];
  /** Object store key of the checkpoint to resume from. */
  checkpoint?: string;
  parkReason?: ParkReason;
  /** Error message of the last failed attempt. */
  error?: string;
  result?: JobResult;
  /** Identifies the last write of the row, to verify a write whose response was lost. */
  writeId: string;
}

/** A worker as listed in the configuration. */
export interface Worker extends Resources {
  vm: string;
  /** Whether new tasks may be placed on it: the VM is up and not about to leave, stop or move. */
  usable: boolean;
}

/** Returns the condition on the zone controller's lease row; undefined if the lease is not held. */
export type LeaseCondition = () => Condition | undefined;

/** Codes of {@link JobError}. */
export enum JobErrorCode {
  /** The job is invalid; nothing was recorded. */
  Invalid = 'invalid',
  UnknownTeam = 'unknown_team',
  /** The team has reached its limit of open jobs; nothing was recorded. */
  TeamQuota = 'team_quota',
  /** No worker in the inventory is large enough; nothing was recorded. */
  TooLarge = 'too_large',
  /** A different job already uses this id; nothing was recorded. */
  IdInUse = 'id_in_use',
  /** The platform is unavailable; nothing was recorded. */
  PlatformUnavailable = 'platform_unavailable',
  /** The call may have taken effect, which could not be verified. The same call can be repeated. */
  OutcomeUnknown = 'outcome_unknown',
  NotFound = 'not_found',
  /** The job has no result yet, or ended without one. */
  NoResult = 'no_result',
  /** The stored result does not match the recorded length or checksum. */
  ResultDamaged = 'result_damaged',
  /** The operation is not allowed in the job's current state. */
  WrongState = 'wrong_state',
}

/** Error of a job operation. */
export class JobError extends BaseError<JobErrorCode> {}
