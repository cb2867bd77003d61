import { Result } from 'true-myth';
import { taskName } from './jobCodec.js';
import { BatchError, BatchErrorCode, JobState, type JobSpec, type StepSpec } from './types.js';
import type { Run } from './worker.js';

/** One task of a step. It has at most one run at a time. */
export interface Task {
  step: Step;
  index: number;
  name: string;
  isDone: boolean;
  /** Numbers of the runs that ended as failed. */
  failedRuns: Set<number>;
  /** Number of the next run. */
  nextRun: number;
  /** Progress to resume from; empty for none. */
  checkpoint: string;
  run?: Run;
  /** No start before this monotonic time, in milliseconds. */
  notBefore: number;
  /**
   * Whether a run was lost with a silent worker. Another holder may have reached it there, so a new
   * run needs a certain hold on the service.
   */
  hasLostRun: boolean;
  /** Worker that failed the task last; avoided while there are others. */
  avoid?: string;
}

/** One step of one occurrence of a job. */
export interface Step {
  job: Job;
  occurrence: Occurrence;
  number: number;
  spec: StepSpec;
  tasks: Task[];
  doneCount: number;
  /** Tasks without a run that have not ended; placement skips the step when there are none. */
  idleCount: number;
  /** Run number that the members of a gang share. */
  gangRun: number;
  /** Ids of the workers that may run the step; any worker when undefined. */
  allowedWorkers?: ReadonlySet<string>;
}

/** One time that the steps of a job run. */
export interface Occurrence {
  number: number;
  steps: Step[];
}

/** Which parts of a job have ended, as kept in its progress row. */
interface StoredProgress {
  /** Indexes of ended tasks by `occurrence.step`. */
  done: Record<string, number[]>;
  /** Numbers of failed runs by `occurrence.step.index`. */
  failures: Record<string, number[]>;
  /** Ended occurrences below this number are left out of `done`. */
  ended?: number;
}

/** A job that has not ended, with all that its holder knows of it. */
export class Job {
  readonly spec: JobSpec;
  state = JobState.Queued;
  readonly occurrences = new Map<number, Occurrence>();
  hasProgressRow = false;
  /**
   * Whether another holder may have taken it before this one did, so that its tasks need a certain
   * hold on the service to start.
   */
  mayHaveOtherHolder = false;
  /** Keys of rows in the inbox that belong to it. */
  readonly inboxKeys = new Set<string>();
  /** Set once nothing of it may start any more. */
  finalState?: JobState.Succeeded | JobState.Failed | JobState.Cancelled;
  /** Monotonic time of acceptance in milliseconds, on this process. */
  readonly acceptedAt: number;
  /** First number for runs of tasks whose earlier runs this process has not seen. */
  readonly #firstRun: number;
  /** Occurrences below this number have ended. */
  #endedOccurrences = 0;
  /** First occurrence that may not have been opened yet. */
  #nextOccurrence = 0;

  constructor(spec: JobSpec, acceptedAt: number, firstRun: number) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.#firstRun = firstRun;
  }

  /** Whether it runs at set times. */
  get hasSchedule(): boolean {
    return this.spec.occurrences > 0;
  }

  get isLasting(): boolean {
    return this.spec.steps.some((step) => step.isLasting);
  }

  /** Number of times that the steps run in all. */
  get total(): number {
    return Math.max(1, this.spec.occurrences);
  }

  /** Creates the occurrences that are due at a Unix time in milliseconds. */
  createDueOccurrences(wallMs: number): void {
    for (let number = this.#nextOccurrence; number < this.total; number++) {
      if (this.hasSchedule && this.spec.firstDueMs + number * this.spec.periodMs > wallMs) return;
      if (!this.occurrences.has(number)) this.#open(number);
      this.#nextOccurrence = number + 1;
    }
  }

  #open(number: number): Occurrence {
    const occurrence: Occurrence = { number, steps: [] };
    for (const [stepNumber, spec] of this.spec.steps.entries()) {
      const step: Step = {
        job: this,
        occurrence,
        number: stepNumber,
        spec,
        tasks: [],
        doneCount: 0,
        idleCount: spec.count,
        gangRun: 0,
      };
      for (let index = 0; index < spec.count; index++) {
        step.tasks.push({
          step,
          index,
          name: taskName(this.spec.id, number, stepNumber, index),
          isDone: false,
          failedRuns: new Set(),
          nextRun: this.#firstRun,
          checkpoint: '',
          notBefore: 0,
          hasLostRun: false,
        });
      }
      occurrence.steps.push(step);
    }
    this.occurrences.set(number, occurrence);
    return occurrence;
  }

  /** Makes a run the current one of a task. */
  attach(task: Task, run: Run): void {
    if (!task.run && !task.isDone) task.step.idleCount--;
    task.run = run;
    task.nextRun = Math.max(task.nextRun, run.number + 1);
  }

  /** Ends the current run of a task. */
  detach(task: Task): void {
    if (!task.run) return;
    delete task.run;
    if (!task.isDone) task.step.idleCount++;
  }

  /** A task by its numbers; undefined when there is none or its occurrence is not open. */
  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.occurrences.get(occurrence)?.steps[step]?.tasks[index];
  }

  /** All tasks of the open occurrences. */
  *tasks(): Generator<Task> {
    for (const { steps } of this.occurrences.values()) {
      for (const { tasks } of steps) yield* tasks;
    }
  }

  /** Records that a task has ended with success. */
  complete(task: Task): void {
    if (task.isDone) return;
    task.isDone = true;
    if (!task.run) task.step.idleCount--;
    task.step.doneCount++;
    const { occurrence } = task.step;
    const isOver = occurrence.steps.every((step) => step.doneCount === step.spec.count);
    if (isOver) this.#closeEnded();
  }

  #closeEnded(): void {
    let occurrence = this.occurrences.get(this.#endedOccurrences);
    while (occurrence?.steps.every((step) => step.doneCount === step.spec.count)) {
      this.occurrences.delete(occurrence.number);
      this.#endedOccurrences++;
      occurrence = this.occurrences.get(this.#endedOccurrences);
    }
  }

  /** Whether every task of every occurrence has ended with success. */
  get isComplete(): boolean {
    return this.#endedOccurrences >= this.total;
  }

  /** Text of the progress row. */
  encodeProgress(): string {
    const stored: StoredProgress = { done: {}, failures: {}, ended: this.#endedOccurrences };
    for (const task of this.tasks()) {
      const { step } = task;
      const stepKey = `${step.occurrence.number}.${step.number}`;
      if (task.isDone) (stored.done[stepKey] ??= []).push(task.index);
      else if (task.failedRuns.size > 0) {
        stored.failures[`${stepKey}.${task.index}`] = [...task.failedRuns];
      }
    }
    return JSON.stringify(stored);
  }

  /** Applies a progress row written by {@link encodeProgress}. */
  applyProgress(text: string): Result<this, BatchError> {
    let stored: StoredProgress;
    try {
      stored = JSON.parse(text) as StoredProgress;
    } catch (err) {
      const message = `progress row of job ${this.spec.id} is not readable`;
      return Result.err(new BatchError(BatchErrorCode.BadRow, message, err));
    }
    this.#endedOccurrences = stored.ended ?? 0;
    this.#nextOccurrence = this.#endedOccurrences;
    for (const [stepKey, indexes] of Object.entries(stored.done)) {
      const [occurrence = 0, step = 0] = stepKey.split('.').map(Number);
      if (occurrence < this.#endedOccurrences) continue;
      if (!this.occurrences.has(occurrence)) this.#open(occurrence);
      for (const index of indexes) {
        const task = this.task(occurrence, step, index);
        if (task) this.complete(task);
      }
    }
    for (const [key, failedRuns] of Object.entries(stored.failures)) {
      const [occurrence = 0, step = 0, index = 0] = key.split('.').map(Number);
      if (!this.occurrences.has(occurrence)) this.#open(occurrence);
      const task = this.task(occurrence, step, index);
      if (!task) continue;
      task.failedRuns = new Set(failedRuns);
    }
    return Result.ok(this);
  }
}

/** Whether all steps that a step waits for have ended. */
export function isStepReady(step: Step): boolean {
  return step.spec.after.every((number) => {
    const earlier = step.occurrence.steps[number];
    return earlier !== undefined && earlier.doneCount === earlier.spec.count;
  });
}

/** Declared run time in milliseconds of the longest chain of steps that have not ended. */
export function remainingPathMs(occurrence: Occurrence): number {
  const ends: number[] = [];
  for (const { spec, doneCount } of occurrence.steps) {
    const start = Math.max(0, ...spec.after.map((number) => ends[number] ?? 0));
    ends.push(start + (doneCount === spec.count ? 0 : spec.estimateMs));
  }
  return Math.max(0, ...ends);
}

/** Declared run time in milliseconds of the longest chain of steps. */
export function criticalPathMs(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const { after, estimateMs } of steps) {
    ends.push(Math.max(0, ...after.map((number) => ends[number] ?? 0)) + estimateMs);
  }
  return Math.max(0, ...ends);
}
