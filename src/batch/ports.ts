import type { Result } from 'true-myth/result';
import { BaseError } from '../errors/index.js';
import type { Resources, RunEnd } from './types.js';

/** Key of a row in the transactional store. */
export interface RowKey {
  table: string;
  /** Partition; a transaction covers rows of one partition. */
  part: string;
  key: string;
}

/** A stored row. */
export interface Row extends RowKey {
  value: string;
  /** Version of the transaction that wrote it. */
  version: number;
}

/** A change feed entry: a row that was written or removed. */
export interface FeedRow extends Row {
  isRemoved: boolean;
}

/** Requires a row to have this version; 0 requires that it does not exist. */
export interface RowCondition extends RowKey {
  version: number;
}

/** A conditional write that is applied atomically. */
export interface Transaction {
  conditions: RowCondition[];
  writes: (RowKey & { value: string })[];
  removes: RowKey[];
}

/** Outcome of a transaction that the store responded to. */
export type TransactionOutcome =
  | { isApplied: true; version: number }
  /** A condition was not met; `rows` are those rows of the conditions that exist. */
  | { isApplied: false; rows: Row[] };

/** Codes of {@link StoreError}. */
export enum StoreErrorCode {
  /** The call was rejected and had no effect; it may be accepted later. */
  Refused = 'refused',
  /** The call was rejected for a reason that does not pass, such as a limit that it breaks. */
  Invalid = 'invalid',
  /** No response arrived: the call may have taken effect, or may still do so. */
  NoAnswer = 'no_answer',
  /** The requested part of the change feed has been discarded. */
  HistoryGone = 'history_gone',
  /** The response cannot be decoded. */
  BadAnswer = 'bad_answer',
}

/** A call to the store, to the VM vendor or to the advice service failed. */
export class StoreError extends BaseError<StoreErrorCode> {}

/** Sizes up to which the store accepts rows and transactions. */
export interface StoreLimits {
  /** Maximum size of the value of a row, in bytes. */
  rowBytes: number;
  /** Maximum number of conditions, writes and removes in a transaction. */
  operations: number;
  /** Maximum size of all values in a transaction, in bytes. */
  transactionBytes: number;
}

/** Client of the transactional store. */
export interface RowStore {
  readonly limits: StoreLimits;
  /** Applies a transaction, all of whose rows must be in one partition. */
  transact(tx: Transaction): Promise<Result<TransactionOutcome, StoreError>>;
  /** Reads all rows of a partition in ascending key order, with the store's latest version. */
  readPart(
    table: string,
    part: string,
  ): Promise<Result<{ rows: Row[]; version: number }, StoreError>>;
  readRow(key: RowKey): Promise<Result<Row | undefined, StoreError>>;
  /** Long-polls for changes to a table after a version, for up to `waitMs`. */
  feed(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<{ rows: FeedRow[]; version: number }, StoreError>>;
}

/** A worker's response to an order. */
export enum OrderAnswer {
  Done = 'done',
  /** The worker has already seen a higher fencing token. */
  Fenced = 'fenced',
  /** The run number is not higher than that of a run which ended or was stopped there. */
  RunTooOld = 'run_too_old',
  /** The lease has already expired by the worker's clock. */
  LeaseInPast = 'lease_in_past',
  NoRoom = 'no_room',
  TicketRefused = 'ticket_refused',
  Malformed = 'malformed',
  /** The order was not carried out: the worker is unhealthy, or the order could not be sent. */
  Unhealthy = 'unhealthy',
  /** The address now belongs to another worker instance. */
  OtherInstance = 'other_instance',
  /** No response arrived: the order may have been carried out, or may still be. */
  NoAnswer = 'no_answer',
}

/** Reply to an order, with the worker's clock if it was reported. */
export interface OrderReply {
  answer: OrderAnswer;
  /** The worker's monotonic clock in milliseconds. */
  workerTimeMs?: number;
}

/** A run that a worker reports as running. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Start-up progress; 100 once the task is fully operational. */
  percent: number;
  /** Tail latency in milliseconds for a task that serves requests, otherwise the CPU in use. */
  measurement: number;
}

/** The end of a run, which a worker reports until it is acknowledged. */
export interface ListedEnd {
  number: number;
  task: string;
  run: number;
  end: RunEnd;
  checkpoint: string;
}

/** Reply to a hold call: the worker's running and ended runs, or why none were returned. */
export type HoldReply =
  | {
      isListed: true;
      workerTimeMs: number;
      bornMs: number;
      running: ListedRun[];
      ended: ListedEnd[];
      /** Whether there are further ends that the worker lists once these are acknowledged. */
      hasMoreEnds: boolean;
    }
  | { isListed: false; answer: OrderAnswer };

/** Network address of a worker. */
export interface WorkerAddress {
  id: string;
  address: string;
}

/** Fields that are common to the orders for one run of a task. */
export interface RunOrder {
  task: string;
  run: number;
  fencingToken: number;
}

/** Client for the workers. Calls never reject; a call without a response gives `NoAnswer`. */
export interface WorkerClient {
  start(
    worker: WorkerAddress,
    order: RunOrder & { payload: string; leaseEndMs: number; checkpoint: string; ticket?: string },
  ): Promise<OrderReply>;
  stop(worker: WorkerAddress, order: RunOrder): Promise<OrderReply>;
  /** Throttles a run to a percentage of its full speed. */
  pace(worker: WorkerAddress, order: RunOrder & { percent: number }): Promise<OrderReply>;
  /** Renews the leases of all runs there, acknowledges ends, and long-polls for new ones. */
  hold(
    worker: WorkerAddress,
    order: {
      fencingToken: number;
      lastAcknowledgedEnd: number;
      leaseEndMs?: number;
      waitMs: number;
    },
  ): Promise<HoldReply>;
}

/** State of a VM as listed by the vendor. */
export enum VmState {
  Up = 'up',
  Moving = 'moving',
  Upkeep = 'upkeep',
  Down = 'down',
}

/** A VM as listed by the vendor. */
export interface ListedVm {
  vm: string;
  /** Service whose pool it is in. */
  pool: string;
  state: VmState;
  capacity: Resources;
  labels: string[];
  /** Id of the worker that runs on it, if any. */
  worker?: string;
}

/** The VMs as listed by the vendor. */
export interface VmList {
  vms: ListedVm[];
  /** Number of entries that could not be decoded and are left out. */
  unreadableCount: number;
}

/** The vendor's response to a move or maintenance order. */
export enum VmOrderAnswer {
  Done = 'done',
  Fenced = 'fenced',
  /** The VM is not up, or is about to leave. */
  Busy = 'busy',
  /** The VM does not belong to the given wave. */
  OtherWave = 'other_wave',
  NoSuchVm = 'no_such_vm',
  Refused = 'refused',
  NoAnswer = 'no_answer',
}

/** Fields that are common to the orders to the vendor. */
export interface VmOrder {
  vm: string;
  fencingToken: number;
  /** Whether the order may still be sent; checked again right before it is. */
  isPermitted: () => boolean;
}

/** Client for the API of the VM vendor. */
export interface VmClient {
  list(): Promise<Result<VmList, StoreError>>;
  move(order: VmOrder & { pool: string }): Promise<VmOrderAnswer>;
  upkeep(order: VmOrder & { wave: string }): Promise<VmOrderAnswer>;
}

/** Tickets for the workers that may run a step, by worker id. */
export interface AdviceReply {
  tickets: Map<string, string>;
}

/** Client for the advice service, which decides which workers may run a step. */
export interface AdviceClient {
  advise(step: string, workers: string[]): Promise<Result<AdviceReply, StoreError>>;
}
