import type { Task } from './job.js';
import type { Resources, WorkerRecord } from './types.js';

/** What the holder knows of a run. */
export enum RunPhase {
  /** The start was sent and not answered yet. */
  Starting = 'starting',
  Running = 'running',
  /** No answer came to the start: it may be carried out, also later. */
  Unconfirmed = 'unconfirmed',
  /** It has been told to stop. */
  Stopping = 'stopping',
}

/** One run of a task on a worker, from its start order until its end is known. */
export interface Run {
  task: Task;
  worker: Worker;
  number: number;
  phase: RunPhase;
  /** Whether a stop order is under way or was answered. */
  isStopSent: boolean;
  /**
   * Clock of the worker at which it had carried out the last order for the run. A list made later
   * without the run shows that the run is over. Undefined while an order is unanswered.
   */
  lastOrderClockMs?: number;
  /** Monotonic time of the start order, or of the adoption, in milliseconds. */
  startedAt: number;
  /** Whether an earlier holder started it. */
  isAdopted: boolean;
  percent: number;
  /** Response time tail in milliseconds of a serving task, else the processor in use. */
  measurement: number;
  /** Share at which it was told to work, 0 to 100. */
  pace: number;
}

/** A run whose start order is sent, or that is adopted, at a monotonic time in milliseconds. */
export function createRun({
  task,
  worker,
  number,
  phase,
  startedAt,
}: Pick<Run, 'task' | 'worker' | 'number' | 'phase' | 'startedAt'>): Run {
  // Written out: spreading the argument took most of the time of a large placement round.
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
  };
}

/** A worker's clock can run this much slow. Source: the platform's protocol. */
const MAX_CLOCK_DRIFT = 0.02;

/** A worker of the service, and what runs on it. Times are monotonic milliseconds. */
export class Worker {
  record: WorkerRecord;
  readonly runs = new Map<string, Run>();
  /** Whether it has answered under this holder's fencing token. */
  isAdmitted = false;
  isGone = false;
  /** Whether it is being emptied for planned work. */
  isVacating = false;
  /** Ends up to this number have been processed. */
  processedUpto = 0;
  /** Ends up to this number may be acknowledged. */
  durableUpto = 0;
  /** Calls without an answer since the last answer. */
  unansweredCalls = 0;
  /** No new runs before this time. */
  avoidUntil = 0;
  /** Successive runs that failed here. */
  consecutiveFailures = 0;
  /** Time by which everything that runs here has lapsed unless the lease is extended. */
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

  /** Forgets the clock of an earlier incarnation. */
  resetClock(): void {
    this.#workerTimeMs = undefined;
  }

  get hasClock(): boolean {
    return this.#workerTimeMs !== undefined;
  }

  /** End of a lease of `leaseMs` on the worker's clock, and its latest end on ours. */
  lease(leaseMs: number, now: number): number | undefined {
    if (this.#workerTimeMs === undefined) return undefined;
    const leaseEndMs = Math.floor(this.#workerTimeMs + (now - this.#clockReadAt) + leaseMs);
    const latest = this.#clockReadAt + (leaseEndMs - this.#workerTimeMs) / (1 - MAX_CLOCK_DRIFT);
    this.leasesExpireBy = Math.max(this.leasesExpireBy, latest);
    return leaseEndMs;
  }

  /** Whether it may get new runs. */
  acceptsRuns(now: number): boolean {
    return (
      this.isAdmitted &&
      !this.isGone &&
      !this.isVacating &&
      !this.record.isDraining &&
      this.unansweredCalls === 0 &&
      this.avoidUntil <= now
    );
  }

  /** Whether a task with these needs fits beside what runs here. */
  hasCapacityFor(needs: Resources, fillsSpare: boolean): boolean {
    const { capacity } = this.record;
    return (
      (fillsSpare || this.cpuUsed + needs.cpuMillis <= capacity.cpuMillis) &&
      this.memoryUsed + needs.memoryMb <= capacity.memoryMb &&
      this.acceleratorsUsed + needs.accelerators <= capacity.accelerators
    );
  }

  /** Adds a run and reserves its room. */
  add(run: Run): void {
    this.runs.set(run.task.name, run);
    this.#reserve(run, 1);
  }

  /** Removes a run and frees its room. */
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
