import type { Task } from './job.js';
import type { Resources, WorkerRecord } from './types.js';

/** State of a run as known to the holder. */
export enum RunPhase {
  /** The start order was sent and has no reply yet. */
  Starting = 'starting',
  Running = 'running',
  /** No reply to the start order arrived: it may have been carried out, or may still be. */
  Unconfirmed = 'unconfirmed',
  /** The run is to be stopped. */
  Stopping = 'stopping',
}

/** One run of a task on a worker, from its start order until its end is known. */
export interface Run {
  task: Task;
  worker: Worker;
  number: number;
  phase: RunPhase;
  /** Whether sending the stop order has begun. */
  isStopSent: boolean;
  /**
   * Reading of the worker's clock after it carried out the last order for the run. If a later list
   * of running tasks does not contain the run, it is over. Undefined until an order is confirmed.
   */
  lastOrderClockMs?: number;
  /** Monotonic time of the start order or of the adoption, in milliseconds. */
  startedAt: number;
  /** Whether an earlier holder started it. */
  isAdopted: boolean;
  /** Start-up progress; 100 once the task is fully operational. */
  percent: number;
  /** Tail latency in milliseconds for a task that serves requests, otherwise the CPU in use. */
  measurement: number;
  /** Pace that it was last set to, in percent of its full speed. */
  pace: number;
  /** Whether it was started, or adopted, as a second run beside the first. */
  isCopy: boolean;
  /** Whether it was found to take longer than nearly all tasks like its own. */
  isStraggler: boolean;
  /** Monotonic time of its last checkpoint known here, in milliseconds. */
  checkpointAt?: number;
  /** Whether its run time tells how long such tasks take. */
  isTimed: boolean;
}

/** Creates the record of a run that is being started or adopted. */
export function createRun({
  task,
  worker,
  number,
  phase,
  startedAt,
}: Pick<Run, 'task' | 'worker' | 'number' | 'phase' | 'startedAt'>): Run {
  // Spreading the argument instead took most of the time of a large placement round.
  return {
    task,
    worker,
    number,
    phase,
    startedAt,
    isStopSent: false,
    isAdopted: false,
    percent: 0,
    measurement: 0,
    pace: 100,
    isCopy: false,
    isStraggler: false,
    isTimed: false,
  };
}

/** Maximum rate by which a worker's clock may run slow; set by the platform's protocol. */
const MAX_CLOCK_DRIFT = 0.02;

/** A worker of the service and its runs. Times are monotonic, in milliseconds. */
export class Worker {
  record: WorkerRecord;
  readonly runs = new Map<string, Run>();
  /** Whether it has responded to this holder's fencing token and is in the stored roster. */
  isAdmitted = false;
  /** Whether it is permanently gone. */
  isGone = false;
  /** Whether it is being emptied for planned work. */
  isVacating = false;
  /** Highest number of a processed end. */
  processedUpto = 0;
  /** Highest number of an end whose effects are durable, so that it may be acknowledged. */
  durableUpto = 0;
  /** Consecutive calls without a usable response. */
  unansweredCalls = 0;
  /** Gets no new runs before this time. */
  avoidUntil = 0;
  /** Gets no new runs before this time, because of a task that may crash its workers. */
  isolatedUntil = 0;
  /** Such a task that starts here once the other short runs have ended. */
  isolatedFor?: Task;
  /** Runs whose leases expired while it was silent; it may have crashed under them. */
  lapsedRuns: Run[] = [];
  /**
   * Tasks that ended `done` here while the start order of their other run was open; their ends are
   * acknowledged once it is certain that this run no longer starts.
   */
  unsettledTasks: Task[] = [];
  /** Factor by which runs here were found to take longer than elsewhere; 1 if they were not. */
  slowdown = 1;
  /** Consecutive runs that failed here. */
  consecutiveFailures = 0;
  /** Time by which all leases here will have expired unless they are renewed. */
  leasesExpireBy = 0;
  cpuUsed = 0;
  memoryUsed = 0;
  acceleratorsUsed = 0;
  #workerTimeMs: number | undefined;
  #clockReadAt = 0;

  constructor(record: WorkerRecord) {
    this.record = record;
  }

  /** Records a reading of the worker's clock that arrived at `now`. */
  recordClock(workerTimeMs: number, now: number): void {
    if (this.#workerTimeMs !== undefined && workerTimeMs < this.#workerTimeMs) return;
    this.#workerTimeMs = workerTimeMs;
    this.#clockReadAt = now;
  }

  /** Discards the clock reading of an earlier incarnation. */
  resetClock(): void {
    this.#workerTimeMs = undefined;
  }

  /**
   * Grants a lease of `leaseMs` and updates {@link leasesExpireBy}.
   *
   * @returns end of the lease on the worker's clock; undefined while that clock is unknown
   */
  lease(leaseMs: number, now: number): number | undefined {
    if (this.#workerTimeMs === undefined) return undefined;
    const leaseEndMs = Math.floor(this.#workerTimeMs + (now - this.#clockReadAt) + leaseMs);
    const latest = this.#clockReadAt + (leaseEndMs - this.#workerTimeMs) / (1 - MAX_CLOCK_DRIFT);
    this.leasesExpireBy = Math.max(this.leasesExpireBy, latest);
    return leaseEndMs;
  }

  /** Monotonic time of the last response in milliseconds; 0 if there was none. */
  get lastContactAt(): number {
    return this.#clockReadAt;
  }

  /** Whether new runs may be placed on it. */
  acceptsRuns(now: number): boolean {
    return this.isUsable(now) && this.isolatedUntil <= now;
  }

  /** Whether it can run tasks and none of its planned work is near. */
  isUsable(now: number): boolean {
    return (
      this.isAdmitted &&
      !this.isGone &&
      !this.isVacating &&
      !this.record.isDraining &&
      this.unansweredCalls === 0 &&
      this.avoidUntil <= now
    );
  }

  /** Whether a task with these needs fits in the unreserved resources. */
  hasCapacityFor(needs: Resources, fillsSpare: boolean): boolean {
    const { capacity } = this.record;
    return (
      (fillsSpare || this.cpuUsed + needs.cpuMillis <= capacity.cpuMillis) &&
      this.memoryUsed + needs.memoryMb <= capacity.memoryMb &&
      this.acceleratorsUsed + needs.accelerators <= capacity.accelerators
    );
  }

  /** Adds a run and reserves its resources. */
  add(run: Run): void {
    this.runs.set(run.task.name, run);
    this.#reserve(run, 1);
  }

  /** Removes a run and releases its resources. */
  remove(run: Run): void {
    if (this.runs.get(run.task.name) !== run) return;
    this.runs.delete(run.task.name);
    this.#reserve(run, -1);
  }

  #reserve({ task }: Run, sign: 1 | -1): void {
    const { spec } = task.step;
    if (!spec.fillsSpare) this.cpuUsed += sign * spec.cpuMillis;
    this.memoryUsed += sign * spec.memoryMb;
    this.acceleratorsUsed += sign * spec.accelerators;
  }
}
