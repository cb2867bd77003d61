import type { Result } from 'true-myth/result';
import { BaseError } from '../errors/index.js';
import type { Resources, RunEnd } from './types.js';

/** Identifies a row of the transactional store. Rows of one part share a transaction. */
export interface RowKey {
  table: string;
  part: string;
  key: string;
}

/** A stored row. */
export interface Row extends RowKey {
  value: string;
  /** Version of the transaction that wrote it. */
  version: number;
}

/** A changed or removed row of a feed. */
export interface FeedRow extends Row {
  isRemoved: boolean;
}

/** A row must have this version; 0 means that it must not exist. */
export interface RowCondition extends RowKey {
  version: number;
}

/** Applied as a whole or not at all. */
export interface Transaction {
  conditions: RowCondition[];
  writes: (RowKey & { value: string })[];
  removes: RowKey[];
}

/** What became of a transaction that was answered. */
export type TransactionOutcome =
  | { isApplied: true; version: number }
  /** A condition did not hold; `rows` are the rows named in the conditions that exist. */
  | { isApplied: false; rows: Row[] };

/** Codes of {@link StoreError}. */
export enum StoreErrorCode {
  /** Nothing was done. */
  Refused = 'refused',
  /** No answer came: it may have been done, or may be done later. */
  NoAnswer = 'no_answer',
  /** The feed no longer has the history that was asked for. */
  HistoryGone = 'history_gone',
  /** The answer cannot be read. */
  BadAnswer = 'bad_answer',
}

/** A store call failed. */
export class StoreError extends BaseError<StoreErrorCode> {}

/** The transactional store. */
export interface RowStore {
  transact(tx: Transaction): Promise<Result<TransactionOutcome, StoreError>>;
  /** All rows of a part in ascending order of keys, and the store's newest version. */
  readPart(
    table: string,
    part: string,
  ): Promise<Result<{ rows: Row[]; version: number }, StoreError>>;
  readRow(key: RowKey): Promise<Result<Row | undefined, StoreError>>;
  /** Waits up to `waitMs` for changes of a table after a version. */
  feed(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<{ rows: FeedRow[]; version: number }, StoreError>>;
}

/** How a worker answered an order. */
export enum OrderAnswer {
  Done = 'done',
  /** A higher fencing token was seen. */
  Fenced = 'fenced',
  /** The run is not higher than one that ended or was stopped there. */
  RunTooOld = 'run_too_old',
  /** The lease lies in the past of the worker's clock. */
  LeaseInPast = 'lease_in_past',
  NoRoom = 'no_room',
  TicketRefused = 'ticket_refused',
  Malformed = 'malformed',
  /** The worker is unhealthy and did nothing. */
  Unhealthy = 'unhealthy',
  /** Another incarnation has the address. */
  OtherInstance = 'other_instance',
  /** No answer came: the order may be carried out, also later. */
  NoAnswer = 'no_answer',
}

/** Answer to an order, with the worker's clock where it gave one. */
export interface OrderReply {
  answer: OrderAnswer;
  /** The worker's steady clock in milliseconds. */
  workerTimeMs?: number;
}

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** 100 when it is at work. */
  percent: number;
  /** Response time tail in milliseconds for a serving task, else the processor in use. */
  measurement: number;
}

/** An end that a worker lists until it is acknowledged. */
export interface ListedEnd {
  number: number;
  task: string;
  run: number;
  end: RunEnd;
  checkpoint: string;
}

/** Answer to a hold: the lists of the worker, or why there is none. */
export type HoldReply =
  | {
      isListed: true;
      workerTimeMs: number;
      bornMs: number;
      running: ListedRun[];
      ended: ListedEnd[];
    }
  | { isListed: false; answer: OrderAnswer };

/** Where a worker is reached. */
export interface WorkerAddress {
  id: string;
  address: string;
}

/** Orders to one run of a task. */
export interface RunOrder {
  task: string;
  run: number;
  fencingToken: number;
}

/** Calls to workers. They never reject; a call without an answer is `NoAnswer`. */
export interface WorkerClient {
  start(
    worker: WorkerAddress,
    order: RunOrder & { payload: string; leaseEndMs: number; checkpoint: string; ticket?: string },
  ): Promise<OrderReply>;
  stop(worker: WorkerAddress, order: RunOrder): Promise<OrderReply>;
  pace(worker: WorkerAddress, order: RunOrder & { percent: number }): Promise<OrderReply>;
  /** Extends the lease of everything that runs there, acknowledges ends, and waits for new ones. */
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

/** State of a VM in the vendor's list. */
export enum VmState {
  Up = 'up',
  Moving = 'moving',
  Upkeep = 'upkeep',
  Down = 'down',
}

/** A VM of the vendor's list. */
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

/** How the vendor answered a move or an upkeep. */
export enum VmOrderAnswer {
  Done = 'done',
  Fenced = 'fenced',
  /** Not up, or leaving. */
  Busy = 'busy',
  /** The VM is not of that wave. */
  OtherWave = 'other_wave',
  NoSuchVm = 'no_such_vm',
  Refused = 'refused',
  NoAnswer = 'no_answer',
}

/** Calls to the vendor of the VMs. */
export interface VmClient {
  list(): Promise<Result<ListedVm[], StoreError>>;
  move(vm: string, pool: string, fencingToken: number): Promise<VmOrderAnswer>;
  upkeep(vm: string, wave: string, fencingToken: number): Promise<VmOrderAnswer>;
}

/** Tickets of workers that may run a step. */
export interface AdviceReply {
  tickets: Map<string, string>;
}

/** The advice service. */
export interface AdviceClient {
  advise(step: string, workers: string[]): Promise<Result<AdviceReply, StoreError>>;
}
