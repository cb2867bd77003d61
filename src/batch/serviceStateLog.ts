import type { Clock } from '../clock/index.js';
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
}

/**
 * Logs once a second why tasks of a service wait: jobs that may not start yet, workers that cannot be
 * used, runs that no worker session tracks, or a process that is too busy to run its timers in time.
 */
export class ServiceStateLog {
  readonly #deps: ServiceStateLogDeps;
  #loggedAt: number;
  #nextTickAt = Infinity;
  #maxTimerDelayMs = 0;

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
    log.detail('service_state', {
      service,
      epoch,
      ...this.#jobCounts(),
      held_jobs: heldJobCount(),
      unreached: unreachedCount(),
      unplaced: unplacedCount,
      ...this.#workerCounts(now),
      timer_delay_ms: Math.round(this.#maxTimerDelayMs),
    });
    this.#loggedAt = now;
    this.#maxTimerDelayMs = 0;
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
