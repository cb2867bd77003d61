import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { ServiceLoad } from '../peers/types.js';

/** Size classes of work, by run time. */
export enum SizeClass {
  Short = 'short',
  Medium = 'medium',
  Long = 'long',
}

/** Why a request was refused before it ran. */
export enum AdmissionReason {
  ServiceQueueFull = 'service_queue_full',
  TeamQueueFull = 'team_queue_full',
  UnknownTeam = 'unknown_team',
  UnknownService = 'unknown_service',
  /** The estimated wait and run time exceed the time left before the deadline. */
  DeadlineUnmeetable = 'deadline_unmeetable',
  /** The deadline passed on arrival or while the request was queued. */
  DeadlineExpired = 'deadline_expired',
  /** No backend server of the service can take work. */
  NoBackend = 'no_backend',
  /** The caller disconnected before the request got a slot. */
  Cancelled = 'cancelled',
  ShuttingDown = 'shutting_down',
}

/** Refusal of a request that was not sent to a backend server. */
export class AdmissionError extends BaseError<AdmissionReason> {
  /** Delay after which the caller may retry, in milliseconds. */
  readonly retryAfterMs: number;

  constructor(reason: AdmissionReason, message: string, retryAfterMs: number) {
    super(reason, message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** A request submitted to the scheduler. */
export interface WorkItem {
  requestId: string;
  service: string;
  team: string;
  urgent: boolean;
  /** Key by which run times are learned, such as method and path template. */
  operation: string;
  /** Run time declared by the caller, in milliseconds, if any. It may be inaccurate. */
  declaredMs?: number;
  /** Monotonic time, in milliseconds. */
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** VMs to exclude, such as those on which an earlier attempt failed. */
  avoidVms?: ReadonlySet<string>;
}

/** A slot on an executor, occupied until it is released. */
export interface SlotGrant {
  vm: string;
  /** Time spent in the queue, in milliseconds. */
  waitedMs: number;
  sizeClass: SizeClass;
  /**
   * Frees the slot. Further calls have no effect.
   *
   * @param ranMs - run time to learn from, in milliseconds; omitted when the work did not run
   */
  release(ranMs?: number): void;
}

/** Slot capacity of one executor that this process owns. */
export interface ExecutorSlots {
  vm: string;
  service: string;
  slots: number;
}

/** Selects one of the executors with a free slot; returns undefined if none may be used. */
export type ChooseExecutor = (
  candidates: readonly ExecutorSlots[],
  busySlots: (vm: string) => number,
) => ExecutorSlots | undefined;

/** Admits and queues requests and assigns them to slots of the executors that this process owns. */
export interface Scheduler {
  /** Resolves with a slot once one is granted, or with an error if the request is refused. */
  submit(item: WorkItem): Promise<Result<SlotGrant, AdmissionError>>;
  /** Replaces the set of owned executors. Grants on removed executors stay valid until released. */
  setExecutors(executors: readonly ExecutorSlots[]): void;
  /** Returns the load per service, for heartbeats and forwarding. */
  load(): ServiceLoad[];
  /** Estimates the wait of a new item, in milliseconds; Infinity if no executor is usable. */
  estimateWaitMs(service: string, operation: string): number;
  /** Refuses all queued and future work. */
  close(): void;
}
