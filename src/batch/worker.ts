import { Standing } from '../workerHealth/index.js';
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
  /**
   * Monotonic time at which the last order for the run was confirmed, or the run was adopted, in
   * milliseconds. If a list that was requested later does not contain the run, it is over, also after
   * a restart of the worker, which starts the worker's clock anew.
   */
  confirmedAt?: number;
  /** Monotonic time of the start order or of the adoption, in milliseconds. */
  startedAt: number;
  /** Whether it resumed a checkpoint, so that it takes less than the whole time. */
  isResumed: boolean;
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
    isResumed: task.checkpoint !== '',
    isAdopted: false,
    percent: 0,
    measurement: 0,
    pace: 100,
    isCopy: false,
    isStraggler: false,
    isTimed: false,
  };
}

/** Why a worker gets no new runs. */
export enum WorkerObstacle {
  /** It has not responded to this holder yet, or is not in the stored roster. */
  NotAdmitted = 'not_admitted',
  Gone = 'gone',
  Vacating = 'vacating',
  Draining = 'draining',
  /** It did not respond to the last call. */
  Silent = 'silent',
  /** Runs failed on it in a row. */
  Paused = 'paused',
  /** A task that may crash its workers runs or is to run on it. */
  Isolated = 'isolated',
  /** It fails or slows down runs compared with the others of the pool. */
  SetAside = 'set_aside',
  /** It has the one run by which it is judged. */
  OnTrial = 'on_trial',
}

/** Maximum rate by which a worker's clock may run slow; set by the platform's protocol. */
const MAX_CLOCK_DRIFT = 0.02;

type GrantLease = (workerId: string, expiresBy: number) => boolean;

/** A worker of the service and its runs. Times are monotonic, in milliseconds. */
export class Worker {
  record: WorkerRecord;
  readonly runs = new Map<string, Run>();
  /** Whether it has responded to this holder's fencing token and is in the stored roster. */
  isAdmitted = false;
  /**
   * Whether its process is known to have been replaced while no list of the new one was read yet, so
   * that its runs may belong to either.
   */
  hasRestarted = false;
  /** Whether it is permanently gone. */
  isGone = false;
  /** Whether it is being emptied for planned work, or may run on a VM that is. */
  isVacating = false;
  /** Monotonic time at which this holder learned of it, in milliseconds. */
  addedAt = 0;
  /** Monotonic time at which the last list that it answered with was requested, in milliseconds. */
  aliveAt = -Infinity;
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
  /** Whether its last list had runs that this holder does not track, and that are being stopped. */
  hasOrphans = false;
  /**
   * Tasks that ended `done` here while the start order of their other run was open; their ends are
   * acknowledged once it is certain that this run no longer starts.
   */
  unsettledTasks: Task[] = [];
  /** Factor by which runs here were found to take longer than elsewhere; 1 if they were not. */
  slowdown = 1;
  /** Consecutive runs that failed here. */
  consecutiveFailures = 0;
  /** Whether it gets new runs, compared with the other workers of the pool. */
  standing = Standing.InUse;
  /** The run by which a worker on trial is judged; it gets no other ones meanwhile. */
  trialRun?: Run;
  /** Time of the first answer after calls that were not answered; ends before it came late. */
  recoveredAt = 0;
  /** Time by which all leases here, of any holder, will have expired unless they are renewed. */
  leasesExpireBy = 0;
  cpuUsed = 0;
  memoryUsed = 0;
  acceleratorsUsed = 0;
  #workerTimeMs: number | undefined;
  #clockReadAt = 0;
  readonly #grantLease: GrantLease;

  /** @param grantLease - records a lease by its expiry; returns whether it may be granted */
  constructor(record: WorkerRecord, grantLease: GrantLease = () => true) {
    this.record = record;
    this.#grantLease = grantLease;
  }

  /** Records a reading of the worker's clock that arrived at `now`. */
  recordClock(workerTimeMs: number, now: number): void {
    if (!this.isClockPlausible(workerTimeMs)) return;
    this.#workerTimeMs = workerTimeMs;
    this.#clockReadAt = now;
  }

  /** Discards the clock reading of an earlier incarnation. */
  resetClock(): void {
    this.#workerTimeMs = undefined;
  }

  /** Whether a reading of its clock may be of the process whose clock was read last. */
  isClockPlausible(workerTimeMs: number): boolean {
    return this.#workerTimeMs === undefined || workerTimeMs >= this.#workerTimeMs;
  }

  /**
   * Grants a lease of `leaseMs` and updates {@link leasesExpireBy}.
   *
   * @returns end of the lease on the worker's clock; undefined while that clock is unknown, and once
   *   the service was released
   */
  lease(leaseMs: number, now: number): number | undefined {
    if (this.#workerTimeMs === undefined) return undefined;
    const leaseEndMs = Math.floor(this.#workerTimeMs + (now - this.#clockReadAt) + leaseMs);
    const latest = this.#clockReadAt + (leaseEndMs - this.#workerTimeMs) / (1 - MAX_CLOCK_DRIFT);
    if (!this.#grantLease(this.record.id, latest)) return undefined;
    this.leasesExpireBy = Math.max(this.leasesExpireBy, latest);
    return leaseEndMs;
  }

  /** Monotonic time of the last response in milliseconds; 0 if there was none. */
  get lastContactAt(): number {
    return this.#clockReadAt;
  }

  /** Whether new runs may be placed on it. */
  acceptsRuns(now: number): boolean {
    return this.obstacleToRuns(now) === undefined;
  }

  /** Why no new runs may be placed on it; undefined if they may. */
  obstacleToRuns(now: number): WorkerObstacle | undefined {
    const obstacle = this.#obstacleToUse(now);
    if (obstacle !== undefined) return obstacle;
    if (this.isolatedUntil > now) return WorkerObstacle.Isolated;
    if (this.standing === Standing.SetAside) return WorkerObstacle.SetAside;
    return this.#hasTrialRun() ? WorkerObstacle.OnTrial : undefined;
  }

  #hasTrialRun(): boolean {
    return this.standing === Standing.OnTrial && this.trialRun !== undefined;
  }

  /** Sets whether it gets new runs; a run of an earlier trial no longer counts. */
  setStanding(standing: Standing): void {
    if (standing !== Standing.OnTrial) delete this.trialRun;
    this.standing = standing;
  }

  /** Whether it can run tasks and none of its planned work is near. */
  isUsable(now: number): boolean {
    return this.#obstacleToUse(now) === undefined;
  }

  #obstacleToUse(now: number): WorkerObstacle | undefined {
    if (!this.isAdmitted) return WorkerObstacle.NotAdmitted;
    if (this.isGone) return WorkerObstacle.Gone;
    if (this.isVacating) return WorkerObstacle.Vacating;
    if (this.record.isDraining) return WorkerObstacle.Draining;
    if (this.unansweredCalls !== 0) return WorkerObstacle.Silent;
    return this.avoidUntil <= now ? undefined : WorkerObstacle.Paused;
  }

  /** Whether a task with these needs fits in the unreserved resources. */
  hasCapacityFor(needs: Resources, fillsSpare: boolean): boolean {
    const { capacity } = this.record;
    if (this.#hasTrialRun()) return false;
    if (this.standing === Standing.OnTrial && fillsSpare) return false;
    return (
      (fillsSpare || this.cpuUsed + needs.cpuMillis <= capacity.cpuMillis) &&
      this.memoryUsed + needs.memoryMb <= capacity.memoryMb &&
      this.acceleratorsUsed + needs.accelerators <= capacity.accelerators
    );
  }

  /** Adds a run and reserves its resources. */
  add(run: Run): void {
    if (this.standing === Standing.OnTrial && !run.isAdopted) this.trialRun = run;
    this.runs.set(run.task.name, run);
    this.#reserve(run, 1);
  }

  /** Removes a run and releases its resources. */
  remove(run: Run): void {
    if (this.runs.get(run.task.name) !== run) return;
    this.runs.delete(run.task.name);
    if (this.trialRun === run) delete this.trialRun;
    this.#reserve(run, -1);
  }

  #reserve({ task }: Run, sign: 1 | -1): void {
    const { spec } = task.step;
    if (!spec.fillsSpare) this.cpuUsed += sign * spec.cpuMillis;
    this.memoryUsed += sign * spec.memoryMb;
    this.acceleratorsUsed += sign * spec.accelerators;
  }
}

/**
 * Whether the run time of a run depends on the speed of its worker only. Long-running and
 * best-effort tasks, gangs, tasks away from their data or their group, and reports that came late
 * say nothing about it.
 */
export function isSpeedSample({ task, worker, startedAt, isAdopted, isResumed }: Run): boolean {
  const { spec } = task.step;
  const isAwayFromData =
    spec.nearRack !== undefined && !worker.record.labels.includes(spec.nearRack);
  if (spec.isLasting || spec.fillsSpare || spec.isGang || spec.isColocated) return false;
  return !isAdopted && !isResumed && !isAwayFromData && startedAt >= worker.recoveredAt;
}

/** Whether a worker can run tasks now, so that it can be compared with the others. */
export function isPoolMember(worker: Worker): boolean {
  const { isAdmitted, isGone, isVacating, unansweredCalls, record } = worker;
  return isAdmitted && !isGone && !isVacating && unansweredCalls === 0 && !record.isDraining;
}
