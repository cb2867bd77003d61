import type { BusyMeter, Clock } from '../clock/index.js';
import type { DecisionLog } from './decisionLog.js';
import { isStepReady, runsOf, type Job } from './job.js';
import { RunPhase, type Worker } from './worker.js';

/** Interval between two lines for one service. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of a {@link ServiceStateLog}. */
export interface ServiceStateLogDeps {
  service: string;
  epoch: number;
  clock: Clock;
  log: DecisionLog;
  jobs: () => Iterable<Job>;
  workers: () => Iterable<Worker>;
  /** Jobs whose tasks wait until all runs of an earlier holder are known. */
  heldJobCount: () => number;
  /** Workers that an earlier holder used and this one has not reached. */
  unreachedCount: () => number;
  /** Placement rounds since the last call. */
  takeRounds: () => { rounds: number; roundsMs: number };
  /** Undefined where the time of the process is not measured. */
  busyShare?: BusyMeter;
}

/** When a job ended, compared with its objective. */
export enum Timeliness {
  InTime = 'in_time',
  Late = 'late',
  /** After completing it had value. */
  Overdue = 'overdue',
}

/**
 * Logs once a second why tasks of a service wait: jobs that may not start yet, workers that cannot be
 * used, runs that no worker session tracks, or a process that is too busy to run its timers in time;
 * and which of its jobs ended in time.
 */
export class ServiceStateLog {
  readonly #deps: ServiceStateLogDeps;
  #loggedAt: number;
  #nextTickAt = Infinity;
  #maxTimerDelayMs = 0;
  /** Jobs accepted, and those that succeeded by timeliness, since the last line. */
  #accepted = 0;
  readonly #ended = new Map(Object.values(Timeliness).map((timeliness) => [timeliness, 0]));

  constructor(deps: ServiceStateLogDeps) {
    this.#deps = deps;
    this.#loggedAt = deps.clock.now();
  }

  /**
   * Logs the state if the last line is old enough. Called at each tick of the holder.
   *
   * @param tickIntervalMs - time until the next call, in milliseconds
   * @param unplacedCount - tasks for which the last placement round found no worker
   */
  update(tickIntervalMs: number, unplacedCount: number): void {
    const { clock, log, service, epoch, heldJobCount, unreachedCount } = this.#deps;
    const now = clock.now();
    this.#maxTimerDelayMs = Math.max(this.#maxTimerDelayMs, now - this.#nextTickAt);
    this.#nextTickAt = now + tickIntervalMs;
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    const { rounds, roundsMs } = this.#deps.takeRounds();
    log.summary('service_state', {
      service,
      epoch,
      ...this.#jobCounts(),
      accepted: this.#accepted,
      ...Object.fromEntries(this.#ended),
      held_jobs: heldJobCount(),
      unreached: unreachedCount(),
      unplaced: unplacedCount,
      ...this.#workerCounts(now),
      timer_delay_ms: Math.round(this.#maxTimerDelayMs),
      busy: this.#deps.busyShare?.().toFixed(2),
      rounds,
      rounds_ms: Math.round(roundsMs),
    });
    this.#accepted = 0;
    for (const timeliness of this.#ended.keys()) this.#ended.set(timeliness, 0);
    this.#loggedAt = now;
    this.#maxTimerDelayMs = 0;
  }

  countAccepted(): void {
    this.#accepted++;
  }

  countSucceeded(timeliness: Timeliness): void {
    this.#ended.set(timeliness, (this.#ended.get(timeliness) ?? 0) + 1);
  }

  #jobCounts(): { jobs: number; waiting: number; task_runs: number } {
    let jobs = 0;
    let waiting = 0;
    let taskRuns = 0;
    for (const job of this.#deps.jobs()) {
      jobs++;
      for (const { steps } of job.occurrences.values()) {
        for (const step of steps) {
          if (!job.finalState && isStepReady(step)) waiting += step.idleCount;
          for (const task of step.tasks) taskRuns += runsOf(task).length;
        }
      }
    }
    return { jobs, waiting, task_runs: taskRuns };
  }

  #workerCounts(now: number): Record<string, number> {
    const workers = [...this.#deps.workers()];
    const runs = workers.flatMap((worker) => [...worker.runs.values()]);
    const countOf = (matches: (worker: Worker) => boolean) => workers.filter(matches).length;
    return {
      worker_runs: runs.length,
      stopping: runs.filter(({ phase }) => phase === RunPhase.Stopping).length,
      workers: workers.length,
      admitted: countOf(({ isAdmitted }) => isAdmitted),
      silent: countOf(({ unansweredCalls }) => unansweredCalls > 0),
      draining: countOf(({ record }) => record.isDraining),
      vacating: countOf(({ isVacating }) => isVacating),
      usable: countOf((worker) => worker.acceptsRuns(now)),
    };
  }
}
