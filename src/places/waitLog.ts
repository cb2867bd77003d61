import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import type { Step, Task } from '../batch/job.js';
import type { Worker } from '../batch/worker.js';
import { PlaceReason, type PlaceDecision } from './types.js';
import { rackOf } from './roundPlaces.js';

/** Dependencies of a {@link WaitLog}. */
export interface WaitLogDeps {
  service: string;
  log: DecisionLog;
  counters: Counters;
  /** Time in milliseconds that a task of a step saves on its rack. */
  gainMsOf: (step: Step) => number;
}

/** How the wait of a task ended. */
enum WaitEnd {
  /** The task started on the rack that it waited for. */
  PaidOff = 'paid_off',
  /** The task started on another rack. */
  GivenUp = 'given_up',
  /** The job ended first. */
  Dropped = 'dropped',
}

interface StepWait {
  rack: string;
  /** Time at which each waiting task began to wait. */
  since: Map<Task, number>;
  tasks: number;
  paidOff: number;
  givenUp: number;
  waitedMs: number;
  savedMs: number;
}

/** Counts and logs the waits of tasks for a rack: one line per step when they begin and end. */
export class WaitLog {
  readonly #deps: WaitLogDeps;
  readonly #waits = new Map<Step, StepWait>();

  constructor(deps: WaitLogDeps) {
    this.#deps = deps;
  }

  /** Number of tasks that wait. */
  get size(): number {
    let size = 0;
    for (const { since } of this.#waits.values()) size += since.size;
    return size;
  }

  /** Records that a task was left waiting although another rack had capacity for it. */
  handleWait(task: Task, { rack = '', waitMs, maxWaitMs, reason }: PlaceDecision, now: number) {
    const { step } = task;
    let wait = this.#waits.get(step);
    if (wait?.since.has(task)) return;
    this.#deps.counters.count('place_waits', 'begun');
    if (!wait) {
      wait = { rack, since: new Map(), tasks: 0, paidOff: 0, givenUp: 0, waitedMs: 0, savedMs: 0 };
      this.#waits.set(step, wait);
      this.#deps.log.detail('place_wait_begun', {
        ...this.#fieldsOf(step),
        rack,
        reason,
        expected_ms: Math.round(waitMs),
        limit_ms: Math.round(maxWaitMs),
      });
    }
    wait.since.set(task, now);
    wait.tasks++;
    wait.rack = rack;
  }

  /** Records the start of a task. */
  handleStart(task: Task, worker: Worker, reason: PlaceReason | undefined, now: number): void {
    const wait = this.#waits.get(task.step);
    if (!wait?.since.has(task)) return;
    const end = rackOf(worker) === wait.rack ? WaitEnd.PaidOff : WaitEnd.GivenUp;
    this.#end(task, wait, end, now);
    if (wait.since.size === 0) this.#finish(task.step, wait, reason);
  }

  /** Drops the waits of jobs that have ended; to be called once per round. */
  sweep(now: number): void {
    for (const [step, wait] of this.#waits) {
      if (!step.job.finalState) continue;
      for (const task of [...wait.since.keys()]) this.#end(task, wait, WaitEnd.Dropped, now);
      this.#finish(step, wait, undefined);
    }
  }

  #end(task: Task, wait: StepWait, end: WaitEnd, now: number): void {
    const { counters, gainMsOf } = this.#deps;
    const waitedMs = now - (wait.since.get(task) ?? now);
    wait.since.delete(task);
    wait.waitedMs += waitedMs;
    counters.count('place_waits', end);
    counters.count('place_wait_ms', 'waited', Math.round(waitedMs));
    if (end === WaitEnd.GivenUp) wait.givenUp++;
    if (end !== WaitEnd.PaidOff) return;
    const savedMs = Math.max(0, gainMsOf(task.step) - waitedMs);
    wait.paidOff++;
    wait.savedMs += savedMs;
    counters.count('place_wait_ms', 'saved', Math.round(savedMs));
  }

  #finish(step: Step, wait: StepWait, reason: PlaceReason | undefined): void {
    this.#waits.delete(step);
    this.#deps.log.detail('place_wait_ended', {
      ...this.#fieldsOf(step),
      rack: wait.rack,
      reason: reason ?? 'job_ended',
      tasks: wait.tasks,
      paid_off: wait.paidOff,
      given_up: wait.givenUp,
      waited_ms: Math.round(wait.waitedMs),
      saved_ms: Math.round(wait.savedMs),
    });
  }

  #fieldsOf({ job, number }: Step) {
    return { service: this.#deps.service, job: job.spec.id, step: number };
  }
}
