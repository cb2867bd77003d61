import type { Clock } from '../clock/index.js';
import type { DecisionLog } from './decisionLog.js';
import type { Step } from './job.js';
import { countOnWorker } from './placement.js';
import type { RunControl } from './runControl.js';
import { RunPhase, type Run, type Worker } from './worker.js';
import type { WorkerSessions } from './workerSessions.js';

/** A request to empty a worker lapses when it is not repeated for this long. */
const REQUEST_TTL_MS = 3_000;

/** Longest time from a stop order until its run has ended. Source: the platform's `stopMs`. */
const MAX_STOP_MS = 1_500;

/** Whether a worker is ready for planned work. */
export interface VacateStatus {
  isReady: boolean;
  /** Runs that are still there. */
  runs: number;
}

/** Needs of {@link Vacating}. */
export interface VacatingDeps {
  clock: Clock;
  log: DecisionLog;
  runs: RunControl;
  sessions: WorkerSessions;
  /** Whether nothing can run any more that the holder has not seen. */
  hasSeenAllRuns: () => boolean;
}

/**
 * Empties workers before planned work and before they leave. Tasks that last are moved one at a
 * time within the number that their step may miss; short tasks are let end.
 */
export class Vacating {
  readonly #deps: VacatingDeps;
  /** Monotonic time of the last request by worker id. */
  readonly #requests = new Map<string, number>();
  /** Workers reported as ready: what runs there may be ended at any moment. */
  readonly #readyWorkers = new Set<Worker>();

  constructor(deps: VacatingDeps) {
    this.#deps = deps;
  }

  /** Asks to empty a worker. With `isUrgent`, short tasks do not hold it up. */
  request(workerId: string, isUrgent: boolean): VacateStatus {
    const worker = this.#deps.sessions.get(workerId);
    if (!worker) return { isReady: this.#deps.hasSeenAllRuns(), runs: 0 };
    worker.isVacating = true;
    this.#requests.set(workerId, this.#deps.clock.now());
    this.proceed();
    const runs = [...worker.runs.values()];
    const mayHaveUnseenRuns = !worker.isAdmitted && !this.#deps.hasSeenAllRuns();
    const isBlocked =
      mayHaveUnseenRuns ||
      runs.some(
        (run) =>
          run.phase === RunPhase.Starting ||
          !this.#mayStopAll(run) ||
          !(isUrgent || isLasting(run)),
      );
    if (isBlocked) this.#readyWorkers.delete(worker);
    else this.#readyWorkers.add(worker);
    return { isReady: !isBlocked, runs: runs.length };
  }

  /** Tells that everything on a worker has been ended by planned work. */
  ended(workerId: string): void {
    const worker = this.#deps.sessions.get(workerId);
    if (worker) this.#deps.runs.dropWorker(worker, 'planned_work');
    this.cancel(workerId);
  }

  /** Lets a worker get tasks again. */
  cancel(workerId: string): void {
    this.#requests.delete(workerId);
    const worker = this.#deps.sessions.get(workerId);
    if (!worker) return;
    worker.isVacating = false;
    this.#readyWorkers.delete(worker);
  }

  /** Moves on; called regularly. */
  proceed(): void {
    const now = this.#deps.clock.now();
    for (const [id, at] of this.#requests) if (now - at > REQUEST_TTL_MS) this.cancel(id);
    for (const worker of this.#deps.sessions.all()) {
      if (worker.isVacating || worker.record.isDraining) this.#stopLastingRuns(worker);
    }
  }

  #stopLastingRuns(worker: Worker): void {
    for (const run of worker.runs.values()) {
      if (!isLasting(run) || run.phase !== RunPhase.Running) continue;
      const isLeaving = worker.record.isDraining;
      if (!isLeaving && !(this.#mayStop(run) && this.#fitsElsewhere(run))) continue;
      this.#deps.runs.stop(run, isLeaving ? 'worker_draining' : 'planned_work');
    }
  }

  /** Whether ending a run keeps its step within the number that it may miss. */
  #mayStop({ task }: Run): boolean {
    const { maxAway } = task.step.spec;
    return maxAway === 0 || this.#countAway(task.step, task.index) < maxAway;
  }

  /** Tasks of a step, without the one named, that are not at work or may be ended any moment. */
  #countAway(step: Step, exceptIndex: number): number {
    const isAtWork = (run: Run | undefined) =>
      run?.phase === RunPhase.Running &&
      run.percent >= 100 &&
      run.worker.unansweredCalls === 0 &&
      !this.#mayBeStopping(run) &&
      !this.#readyWorkers.has(run.worker);
    return step.tasks.filter(({ run, index }) => index !== exceptIndex && !isAtWork(run)).length;
  }

  /** Whether ending all tasks of a run's step on its worker keeps the step within its number. */
  #mayStopAll({ task, worker }: Run): boolean {
    const { maxAway } = task.step.spec;
    const here = countOnWorker(task.step.tasks, worker);
    return maxAway === 0 || this.#countAway(task.step, task.index) + here - 1 < maxAway;
  }

  /** An earlier holder may have told an adopted run to stop before it lost the worker. */
  #mayBeStopping({ isAdopted, startedAt }: Run): boolean {
    return isAdopted && this.#deps.clock.now() - startedAt < MAX_STOP_MS;
  }

  #fitsElsewhere({ task, worker }: Run): boolean {
    const { step } = task;
    const now = this.#deps.clock.now();
    for (const other of this.#deps.sessions.all()) {
      if (other === worker || !other.acceptsRuns(now)) continue;
      if (!other.hasCapacityFor(step.spec, step.spec.fillsSpare)) continue;
      const here = countOnWorker(step.tasks, other);
      if (step.spec.maxPerWorker === 0 || here < step.spec.maxPerWorker) return true;
    }
    return false;
  }
}

function isLasting({ task }: Run): boolean {
  return task.step.spec.isLasting;
}
