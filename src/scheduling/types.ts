import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { ServiceLoad } from '../peers/types.js';

/** Classes of work by run time. */
export enum SizeClass {
  Short = 'short',
  Medium = 'medium',
  Long = 'long',
}

/** Why a request was not admitted. It did not run. */
export enum AdmissionReason {
  ServiceQueueFull = 'service_queue_full',
  TeamQueueFull = 'team_queue_full',
  UnknownTeam = 'unknown_team',
  UnknownService = 'unknown_service',
  /** The estimated wait is longer than the time left. */
  DeadlineUnmeetable = 'deadline_unmeetable',
  /** The deadline passed while the request waited. */
  DeadlineExpired = 'deadline_expired',
  /** No backend server of the service can take work. */
  NoBackend = 'no_backend',
  /** The caller went away while the request waited. */
  Cancelled = 'cancelled',
  ShuttingDown = 'shutting_down',
}

/** A request was refused before it was sent. */
export class AdmissionError extends BaseError<AdmissionReason> {
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;

  constructor(reason: AdmissionReason, message: string, retryAfterMs: number) {
    super(reason, message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** A request that waits for a slot. */
export interface WorkItem {
  requestId: string;
  service: string;
  team: string;
  urgent: boolean;
  /** Key under which run times are learned, such as method and path template. */
  operation: string;
  /** Run time declared by the caller in milliseconds, if any; it may be far off. */
  declaredMs?: number;
  /** Monotonic time in milliseconds. */
  deadline: number;
  /** Aborted when the caller went away. */
  signal: AbortSignal;
  /** VMs not to use, such as those that failed an earlier attempt. */
  avoidVms?: ReadonlySet<string>;
}

/** A slot on an executor, held until it is released. */
export interface SlotGrant {
  vm: string;
  /** Time spent in the queue, in milliseconds. */
  waitedMs: number;
  sizeClass: SizeClass;
  /**
   * Frees the slot. Later calls do nothing.
   *
   * @param ranMs - run time to learn from, in milliseconds; undefined when the work did not run
   */
  release(ranMs?: number): void;
}

/** Slots of one executor that this process owns. */
export interface ExecutorSlots {
  vm: string;
  service: string;
  slots: number;
}

/** Chooses among executors with a free slot for the item; undefined when none may be used. */
export type ChooseExecutor = (
  candidates: readonly ExecutorSlots[],
  busySlots: (vm: string) => number,
) => ExecutorSlots | undefined;

/** Admission, queues and slots of the executors that this process owns. */
export interface Scheduler {
  /** Waits for a slot. Refusals are returned at once. */
  submit(item: WorkItem): Promise<Result<SlotGrant, AdmissionError>>;
  /** Replaces the set of owned executors. Grants on executors that left stay valid until released. */
  setExecutors(executors: readonly ExecutorSlots[]): void;
  /** Load per service, for heartbeats and forwarding. */
  load(): ServiceLoad[];
  /** Estimated wait of a new item in milliseconds; Infinity when no executor is owned. */
  estimateWaitMs(service: string, operation: string): number;
  /** Refuses new work and everything that waits. */
  close(): void;
}
