import type { Clock } from '../clock/index.js';
import type { DecisionLog } from './decisionLog.js';
import type { Step } from './job.js';
import { countOnWorker } from './placement.js';
import type { RunControl } from './runControl.js';
import { RunPhase, type Run, type Worker } from './worker.js';
import type { WorkerSessions } from './workerSessions.js';

/** A request to empty a VM expires unless it is repeated within this time. */
const REQUEST_TTL_MS = 3_000;

/** Longest time that a request is under way; the answer to a slower one is ignored. */
const MAX_TRANSIT_MS = 500;

/** Maximum time from a stop order to the end of its run; the platform's `stopMs`. */
const MAX_STOP_MS = 1_500;

/** Progress in percent from which a task is left to finish, as ending and resuming it takes longer. */
const NEARLY_DONE_PERCENT = 75;

/** A VM that is to be emptied, as its vendor last listed it. */
export interface VmListing {
  vm: string;
  /** Id of the worker that runs on it; undefined if none does. */
  worker?: string;
  /** Time since the list was requested, in milliseconds. */
  listAgeMs: number;
}

/** How a VM is emptied. */
export interface VacateOptions {
  /** Whether short tasks may be ended by the planned work. */
  isUrgent: boolean;
  /** Whether short tasks with checkpoints are stopped and resumed on other workers. */
  relocatesRuns?: boolean;
}

/** Progress of emptying a VM. */
export interface VacateStatus {
  /** Whether planned work may interrupt what still runs there. */
  isReady: boolean;
  /** Number of runs that are still there. */
  runs: number;
}

interface VacateRequest {
  /** Id of the worker with which the VM was last listed, if any. */
  worker?: string;
  /** Monotonic time at which it was certainly listed so, in milliseconds. */
  listedAt: number;
  /** Monotonic time at which it was last made, in milliseconds. */
  at: number;
  relocatesRuns: boolean;
  /** Workers that may run on the VM instead; they get no runs. */
  possibleReplacements: Set<Worker>;
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
 * Empties VMs before planned work, and workers while they drain. Long-running tasks are stopped so that
 * they restart elsewhere, for planned work only within the `maxAway` of their step; short tasks are
 * left to finish.
 *
 * A VM is known by the worker that it was last listed with. That worker may have crashed since, and another
 * one may run on the VM under an id that nobody has connected with it yet. So a worker that is new since
 * the listed one was known to run counts as being on the VM, too.
 */
export class Vacating {
  readonly #deps: VacatingDeps;
  /** Last request by VM. */
  readonly #requests = new Map<string, VacateRequest>();
  /** Workers reported as ready, whose runs planned work may end at any moment. */
  readonly #readyWorkers = new Set<Worker>();

  constructor(deps: VacatingDeps) {
    this.#deps = deps;
  }

  /** Requests that a VM be emptied. With `isUrgent`, it does not wait for short tasks. */
  request(
    { vm, worker: workerId, listAgeMs }: VmListing,
    { isUrgent, relocatesRuns = false }: VacateOptions,
  ): VacateStatus {
    const now = this.#deps.clock.now();
    const previous = this.#requests.get(vm);
    const isSame = previous !== undefined && previous.worker === workerId;
    if (!isSame) this.cancel(vm);
    const request: VacateRequest = {
      worker: workerId,
      listedAt: now - listAgeMs - MAX_TRANSIT_MS,
      at: now,
      relocatesRuns,
      possibleReplacements: isSame ? previous.possibleReplacements : new Set(),
    };
    this.#requests.set(vm, request);
    this.#updateReplacements(request);
    const worker = this.#workerOf(request);
    if (worker) worker.isVacating = true;
    this.proceed();
    const isReady = this.#isReady(request, isUrgent);
    if (worker && isReady) this.#readyWorkers.add(worker);
    else if (worker) this.#readyWorkers.delete(worker);
    const runs = (worker?.runs.size ?? 0) + countRuns(request.possibleReplacements);
    return { isReady, runs };
  }

  /** Whether planned work may end what still runs on the VM of a request. */
  #isReady(request: VacateRequest, isUrgent: boolean): boolean {
    const worker = this.#workerOf(request);
    if (worker?.isAdmitted !== true && !this.#deps.hasSeenAllRuns()) return false;
    if (countRuns(request.possibleReplacements) > 0) return false;
    const mayEnd = (run: Run) =>
      run.phase !== RunPhase.Starting && this.#mayStopAll(run) && (isUrgent || isLasting(run));
    return [...(worker?.runs.values() ?? [])].every(mayEnd);
  }

  #workerOf({ worker }: VacateRequest): Worker | undefined {
    return worker === undefined ? undefined : this.#deps.sessions.get(worker);
  }

  /** Handles a new worker, which may run on one of the VMs that are being emptied. */
  handleAdded(worker: Worker): void {
    for (const request of this.#requests.values()) {
      if (request.worker === worker.record.id) worker.isVacating = true;
      else this.#updateReplacements(request);
    }
  }

  /**
   * Holds back the workers that may run on the VM of a request: those that were added since it was listed,
   * and since the worker that it was listed with last answered.
   */
  #updateReplacements(request: VacateRequest): void {
    const { sessions, log } = this.#deps;
    const listed = this.#workerOf(request);
    const knownAt = Math.max(request.listedAt, listed?.aliveAt ?? -Infinity);
    const earlier = request.possibleReplacements;
    if (sessions.lastAddedAt <= knownAt && earlier.size === 0) return;
    const present = [...sessions.all()].filter(
      ({ record, addedAt }) => addedAt > knownAt && record.id !== request.worker,
    );
    request.possibleReplacements = new Set(present);
    for (const worker of earlier)
      if (!request.possibleReplacements.has(worker)) this.#release(worker);
    for (const worker of present) {
      worker.isVacating = true;
      if (earlier.has(worker)) continue;
      log.info('worker_held_back', { worker: worker.record.id, listed: request.worker });
      if (listed?.unansweredCalls === 0) sessions.requestAnswer(listed.record.id);
    }
  }

  /** Lets a worker receive runs again, unless another request is about it. */
  #release(worker: Worker): void {
    const { id } = worker.record;
    const requests = [...this.#requests.values()];
    worker.isVacating = requests.some(
      (request) => request.worker === id || request.possibleReplacements.has(worker),
    );
    if (!worker.isVacating) this.#readyWorkers.delete(worker);
  }

  /** Handles the notice that planned work has ended all runs on the worker of a VM. */
  ended(vm: string, workerId: string | undefined): void {
    const worker = workerId === undefined ? undefined : this.#deps.sessions.get(workerId);
    if (worker) this.#deps.runs.dropWorker(worker, 'planned_work');
    this.cancel(vm);
  }

  /** Cancels the request, so that the workers of the VM receive runs again. */
  cancel(vm: string): void {
    const request = this.#requests.get(vm);
    if (!request) return;
    this.#requests.delete(vm);
    const worker = this.#workerOf(request);
    if (worker) this.#release(worker);
    for (const replacement of request.possibleReplacements) this.#release(replacement);
  }

  /** Expires old requests and stops long-running tasks where allowed; called periodically. */
  proceed(): void {
    const now = this.#deps.clock.now();
    for (const [vm, request] of this.#requests) {
      if (now - request.at > REQUEST_TTL_MS) this.cancel(vm);
      else if (request.possibleReplacements.size > 0) this.#updateReplacements(request);
    }
    for (const request of this.#requests.values()) {
      const worker = this.#workerOf(request);
      if (!worker) continue;
      this.#stopLastingRuns(worker);
      if (request.relocatesRuns) this.#relocateShortRuns(worker);
    }
    for (const worker of this.#deps.sessions.all())
      if (worker.record.isDraining) this.#stopLastingRuns(worker);
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

function countRuns(workers: Iterable<Worker>): number {
  let count = 0;
  for (const { runs } of workers) count += runs.size;
  return count;
}
