import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';

/** Codes of {@link PlatformError}. */
export enum PlatformErrorCode {
  /** The call was not sent, so it had no effect. */
  Unreachable = 'unreachable',
  /** The call was sent, but its response is missing; it may have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  /** The platform refused the call; it had no effect. */
  Refused = 'refused',
  /** The worker has restarted and is no longer the incarnation that the call names; no effect. */
  OtherIncarnation = 'other_incarnation',
  /** A condition of the transaction did not hold; it had no effect. */
  ConditionFailed = 'condition_failed',
  /** A limit of this process on the rate or concurrency of calls was reached; nothing was sent. */
  RateLimited = 'rate_limited',
  /** The response of the platform is invalid; the call may have taken effect. */
  BadAnswer = 'bad_answer',
}

/** A call to the platform failed. */
export class PlatformError extends BaseError<PlatformErrorCode> {
  /** Key of the first condition that did not hold, for ConditionFailed. */
  readonly failedKey?: string;

  constructor(code: PlatformErrorCode, message: string, cause?: unknown, failedKey?: string) {
    super(code, message, cause);
    this.failedKey = failedKey;
  }

  /** False only when the call is known to have had no effect. */
  get mayHaveTakenEffect(): boolean {
    return (
      this.code === PlatformErrorCode.OutcomeUnknown || this.code === PlatformErrorCode.BadAnswer
    );
  }
}

/** JSON value of a table row. */
export type RowValue = unknown;

/** One row of the table. */
export interface Row {
  key: string;
  /** Starts at 1 and increases by one with each write of the row. */
  version: number;
  value: RowValue;
}

/** A condition of a transaction: the row exists with this version, or is absent (version 0). */
export interface Condition {
  key: string;
  version: number;
}

/** A write of a transaction; an undefined value deletes the row. */
export interface Write {
  key: string;
  value?: RowValue;
}

/** A page of rows in key order. */
export interface RowPage {
  rows: Row[];
  /** Pass as `after` to get the next page; undefined on the last page. */
  next?: string;
}

/** Result type of every platform call. */
export type PlatformResult<T> = Promise<Result<T, PlatformError>>;

/** The transactional table service. */
export interface Table {
  /** Reads one row; Ok(undefined) when it does not exist. */
  get(key: string): PlatformResult<Row | undefined>;
  /** Reads rows whose key starts with `prefix`, in key order, at most `limit` of them. */
  scan(prefix: string, limit: number, after?: string): PlatformResult<RowPage>;
  /** Atomically applies all writes if all conditions hold, otherwise none. */
  transact(conditions: Condition[], writes: Write[]): PlatformResult<void>;
}

/** The object store. Objects cannot be modified in place; a put to an existing key replaces it. */
export interface ObjectStore {
  put(key: string, body: Uint8Array): PlatformResult<void>;
  get(key: string): PlatformResult<Uint8Array | undefined>;
}

/** State of a VM in the platform's VM list. */
export enum ListedVmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One VM of the platform's VM list. */
export interface ListedVm {
  id: string;
  state: ListedVmState;
}

/** The platform's list of live and leaving VMs, which lags behind their actual state. */
export interface VmList {
  list(zone: string): PlatformResult<ListedVm[]>;
}

/** Drain state of a VM, as reported by the pool interface. */
export enum DrainState {
  InService = 'in_service',
  Draining = 'draining',
  /** The VM refuses new work, and no request or task is active on it. */
  Drained = 'drained',
  Rebooting = 'rebooting',
}

/** Drain status of one VM. */
export interface DrainStatus {
  state: DrainState;
  /** Requests and tasks still active on the VM. */
  active: number;
}

/** The pool interface: draining and rebooting VMs. */
export interface PoolService {
  drain(vm: string): PlatformResult<void>;
  cancelDrain(vm: string): PlatformResult<void>;
  drainStatus(vm: string): PlatformResult<DrainStatus>;
  reboot(vm: string): PlatformResult<void>;
}

/** State of a task on a worker. */
export enum TaskState {
  Running = 'running',
  Checkpointed = 'checkpointed',
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
}

/** Task to start on a worker. */
export interface TaskSpec {
  /** Unique per job attempt. */
  id: string;
  jobId: string;
  /** Lease epoch of the attempt; a worker refuses lower epochs for the same job. */
  epoch: number;
  /** Lease duration in milliseconds; the worker stops the task unless the lease is renewed. */
  leaseMs: number;
  cores: number;
  memoryMib: number;
  accelerators: number;
  /** Opaque description of the work. */
  payload: unknown;
  /** Object key of the checkpoint to resume from. */
  checkpoint?: string;
  /** Object key that receives the result. */
  resultKey: string;
  /** Incarnation of the worker to start the task on; any other incarnation refuses it. */
  incarnation?: string;
}

/** Status of one task as reported by its worker. */
export interface TaskStatus {
  id: string;
  jobId: string;
  epoch: number;
  state: TaskState;
  /** Observed resource usage, reported with a delay. */
  coresUsed: number;
  memoryUsedMib: number;
  acceleratorsUsed: number;
  /** Length in bytes and SHA-256 hash of the result; set when the task is finished. */
  resultBytes?: number;
  resultSha256?: string;
  checkpoint?: string;
  error?: string;
}

/** Status report of a worker. */
export interface WorkerReport {
  /** Identifies one run of the worker. A restarted worker has another and knows no earlier task. */
  incarnation: string;
  /** All tasks that this incarnation started, including ended ones. */
  tasks: TaskStatus[];
}

/** The worker interface. */
export interface WorkerService {
  start(vm: string, task: TaskSpec): PlatformResult<void>;
  renew(vm: string, taskId: string, epoch: number, leaseMs: number): PlatformResult<void>;
  /** Writes a checkpoint and ends the task in state Checkpointed. */
  checkpoint(vm: string, taskId: string): PlatformResult<void>;
  throttle(vm: string, taskId: string, share: number): PlatformResult<void>;
  /** Stops a task. A worker that does not know the task refuses to start it later. */
  stop(vm: string, taskId: string): PlatformResult<void>;
  report(vm: string): PlatformResult<WorkerReport>;
}

/** Client of all platform interfaces. */
export interface PlatformClient {
  table: Table;
  objects: ObjectStore;
  vmList: VmList;
  pools: PoolService;
  workers: WorkerService;
}

/** Purpose of a platform call; calls are counted by purpose. */
export enum CallPurpose {
  Request = 'request',
  Job = 'job',
  Change = 'change',
  /** Lease renewals; they may use the reserved part of the rate limits. */
  Lease = 'lease',
  Other = 'other',
}

/** Kind of a call; each kind has its own rate limit. */
export enum CallKind {
  /** Read of the table, the object store or the VM list. */
  Read = 'read',
  /** Write to the table or the object store. */
  Write = 'write',
  /** Call to a pool or worker interface; does not count towards the limits of reads and writes. */
  Control = 'control',
}

/** A platform client whose calls are counted by purpose. */
export interface MeteredPlatformClient extends PlatformClient {
  /** Returns a view of this client that counts its calls under the given purpose. */
  forPurpose(purpose: CallPurpose): PlatformClient;
}
