import type { Clock } from '../clock/index.js';
import type { DecisionLog } from './decisionLog.js';
import type { Step } from './job.js';
import { countOnWorker } from './placement.js';
import type { RunControl } from './runControl.js';
import { RunPhase, type Run, type Worker } from './worker.js';
import type { WorkerSessions } from './workerSessions.js';

/** A request to empty a worker expires unless it is repeated within this time. */
const REQUEST_TTL_MS = 3_000;

/** Maximum time from a stop order to the end of its run; the platform's `stopMs`. */
const MAX_STOP_MS = 1_500;

/** Progress in percent from which a task is left to finish, as ending and resuming it takes longer. */
const NEARLY_DONE_PERCENT = 75;

/** How a worker is emptied. */
export interface VacateOptions {
  /** Whether short tasks may be ended by the planned work. */
  isUrgent: boolean;
  /** Whether short tasks with checkpoints are stopped and resumed on other workers. */
  relocatesRuns?: boolean;
}

/** Progress of emptying a worker. */
export interface VacateStatus {
  /** Whether planned work may interrupt what still runs there. */
  isReady: boolean;
  /** Number of runs that are still there. */
  runs: number;
}

/** Dependencies of {@link Vacating}. */
export interface VacatingDeps {
  clock: Clock;
  log: DecisionLog;
  runs: RunControl;
  sessions: WorkerSessions;
  /** Whether the holder has seen every run that may still exist. */
  hasSeenAllRuns: () => boolean;
}

/**
 * Empties workers before planned work and while they drain. Long-running tasks are stopped so that
 * they restart elsewhere, for planned work only within the `maxAway` of their step; short tasks are
 * left to finish.
 */
export class Vacating {
  readonly #deps: VacatingDeps;
  /** Last request by worker id, with its monotonic time in milliseconds. */
  readonly #requests = new Map<string, { at: number; relocatesRuns: boolean }>();
  /** Workers reported as ready, whose runs planned work may end at any moment. */
  readonly #readyWorkers = new Set<Worker>();

  constructor(deps: VacatingDeps) {
    this.#deps = deps;
  }

  /** Requests that a worker be emptied. With `isUrgent`, it does not wait for short tasks. */
  request(workerId: string, { isUrgent, relocatesRuns = false }: VacateOptions): VacateStatus {
    const worker = this.#deps.sessions.get(workerId);
    if (!worker) return { isReady: this.#deps.hasSeenAllRuns(), runs: 0 };
    worker.isVacating = true;
    this.#requests.set(workerId, { at: this.#deps.clock.now(), relocatesRuns });
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

  /** Handles the notice that planned work has ended all runs on a worker. */
  ended(workerId: string): void {
    const worker = this.#deps.sessions.get(workerId);
    if (worker) this.#deps.runs.dropWorker(worker, 'planned_work');
    this.cancel(workerId);
  }

  /** Cancels the request, so that the worker receives runs again. */
  cancel(workerId: string): void {
    this.#requests.delete(workerId);
    const worker = this.#deps.sessions.get(workerId);
    if (!worker) return;
    worker.isVacating = false;
    this.#readyWorkers.delete(worker);
  }

  /** Expires old requests and stops long-running tasks where allowed; called periodically. */
  proceed(): void {
    const now = this.#deps.clock.now();
    for (const [id, { at }] of this.#requests) if (now - at > REQUEST_TTL_MS) this.cancel(id);
    for (const worker of this.#deps.sessions.all()) {
      if (worker.isVacating || worker.record.isDraining) this.#stopLastingRuns(worker);
      if (this.#requests.get(worker.record.id)?.relocatesRuns) this.#relocateShortRuns(worker);
    }
  }

  #stopLastingRuns(worker: Worker): void {
    for (const run of worker.runs.values()) {
      if (!isLasting(run) || run.phase !== RunPhase.Running) continue;
      const isDraining = worker.record.isDraining;
      if (!isDraining && !(this.#mayStop(run) && this.#fitsElsewhere(run))) continue;
      this.#deps.runs.stop(run, isDraining ? 'worker_draining' : 'planned_work');
    }
  }

  /** Stops short tasks that can be resumed from a checkpoint on another worker. */
  #relocateShortRuns(worker: Worker): void {
    for (const run of worker.runs.values()) {
      const { savesProgress, isGang } = run.task.step.spec;
      const canResume = savesProgress && !isGang && !isLasting(run);
      if (!canResume || run.phase !== RunPhase.Running) continue;
      if (run.percent >= NEARLY_DONE_PERCENT || !this.#fitsElsewhere(run)) continue;
      this.#deps.runs.stop(run, 'relocated');
    }
  }

  /** Whether stopping a run keeps its step within `maxAway`. */
  #mayStop({ task }: Run): boolean {
    const { maxAway } = task.step.spec;
    return maxAway === 0 || this.#countAway(task.step, task.index) < maxAway;
  }

  /** Number of other tasks of a step that are not operational or may be ended at any moment. */
  #countAway(step: Step, exceptIndex: number): number {
    const isOperational = (run: Run | undefined) =>
      run?.phase === RunPhase.Running &&
      run.percent >= 100 &&
      run.worker.unansweredCalls === 0 &&
      !this.#mayBeStopping(run) &&
      !this.#readyWorkers.has(run.worker);
    return step.tasks.filter(({ run, index }) => index !== exceptIndex && !isOperational(run))
      .length;
  }

  /** Whether stopping all tasks of a run's step on its worker keeps the step within `maxAway`. */
  #mayStopAll({ task, worker }: Run): boolean {
    const { maxAway } = task.step.spec;
    const here = countOnWorker(task.step.tasks, worker);
    return maxAway === 0 || this.#countAway(task.step, task.index) + here - 1 < maxAway;
  }

  /** Whether an earlier holder's order to stop an adopted run may still take effect. */
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
