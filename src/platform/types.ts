import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';

/** Codes of {@link PlatformError}. */
export enum PlatformErrorCode {
  /** The call certainly had no effect: it was never sent. */
  Unreachable = 'unreachable',
  /** The call was sent and its answer is missing; it may have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  /** The platform answered that it refused the call; it had no effect. */
  Refused = 'refused',
  /** The worker has restarted since the incarnation that the call names; it had no effect. */
  OtherIncarnation = 'other_incarnation',
  /** A condition of a transaction did not hold; it had no effect. */
  ConditionFailed = 'condition_failed',
  /** The process spent its share of platform reads or writes; nothing was sent. */
  RateLimited = 'rate_limited',
  /** The answer of the platform could not be understood; the call may have taken effect. */
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

  /** False only when the call certainly had no effect. */
  get mayHaveTakenEffect(): boolean {
    return (
      this.code === PlatformErrorCode.OutcomeUnknown || this.code === PlatformErrorCode.BadAnswer
    );
  }
}

/** JSON value kept in a table row. */
export type RowValue = unknown;

/** One row of the table. */
export interface Row {
  key: string;
  /** Increases by one with each write of the row; the first write gives 1. */
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
  /** Applies all writes if all conditions hold, else none. */
  transact(conditions: Condition[], writes: Write[]): PlatformResult<void>;
}

/** The object store. Objects are immutable once put; putting the same key twice overwrites. */
export interface ObjectStore {
  put(key: string, body: Uint8Array): PlatformResult<void>;
  get(key: string): PlatformResult<Uint8Array | undefined>;
}

/** State of a VM in the platform's lagging list. */
export enum ListedVmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One VM of the platform's lagging list. */
export interface ListedVm {
  id: string;
  state: ListedVmState;
}

/** The lagging list of live and leaving VMs. */
export interface VmList {
  list(zone: string): PlatformResult<ListedVm[]>;
}

/** What a VM's pool interface reports about draining. */
export enum DrainState {
  InService = 'in_service',
  Draining = 'draining',
  /** Refuses new work and has nothing active. */
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

/** What to run on a worker. */
export interface TaskSpec {
  /** Unique per job attempt. */
  id: string;
  jobId: string;
  /** Lease epoch of the attempt; a worker refuses smaller epochs for the same job. */
  epoch: number;
  /** Lease duration in milliseconds; the worker stops the task when it is not renewed. */
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
  /** Incarnation of the worker that is meant; any other refuses the start. */
  incarnation?: string;
}

/** Status of one task as reported by its worker. */
export interface TaskStatus {
  id: string;
  jobId: string;
  epoch: number;
  state: TaskState;
  /** Observed use, with a lag. */
  coresUsed: number;
  memoryUsedMib: number;
  acceleratorsUsed: number;
  /** Length in bytes and SHA-256 of the result, when finished. */
  resultBytes?: number;
  resultSha256?: string;
  checkpoint?: string;
  error?: string;
}

/** What a worker reports about itself. */
export interface WorkerReport {
  /** Names one life of the worker. A worker that restarts gets another and knows no earlier task. */
  incarnation: string;
  /** Every task that was started in this life, ended ones included. */
  tasks: TaskStatus[];
}

/** The worker interface. */
export interface WorkerService {
  start(vm: string, task: TaskSpec): PlatformResult<void>;
  renew(vm: string, taskId: string, epoch: number, leaseMs: number): PlatformResult<void>;
  /** Writes a checkpoint and ends the task in state Checkpointed. */
  checkpoint(vm: string, taskId: string): PlatformResult<void>;
  throttle(vm: string, taskId: string, share: number): PlatformResult<void>;
  /** Stops a task. A worker that does not know the task refuses to start it from then on. */
  stop(vm: string, taskId: string): PlatformResult<void>;
  report(vm: string): PlatformResult<WorkerReport>;
}

/** Everything the platform gives. */
export interface PlatformClient {
  table: Table;
  objects: ObjectStore;
  vmList: VmList;
  pools: PoolService;
  workers: WorkerService;
}

/** On whose behalf the platform is called; reads and writes are counted by it. */
export enum CallPurpose {
  Request = 'request',
  Job = 'job',
  Change = 'change',
  /** Lease renewals; they may use the reserved part of the rate share. */
  Lease = 'lease',
  Other = 'other',
}

/** What a call costs. */
export enum CallKind {
  /** Read of the table, the object store or the VM list. */
  Read = 'read',
  /** Write to the table or the object store. */
  Write = 'write',
  /** Call to a pool or worker interface; not part of the share of reads and writes. */
  Control = 'control',
}

/** A platform client whose calls are counted by purpose. */
export interface MeteredPlatformClient extends PlatformClient {
  /** A view of the same client that counts its calls under another purpose. */
  forPurpose(purpose: CallPurpose): PlatformClient;
}
