import { Result } from 'true-myth';
import { declaredMs, type PredictMs } from '../runTimes/index.js';
import { isCrashSuspect, mayHaveCrashed, type CrashRole } from './crashSuspects.js';
import {
  decodeProgress,
  MAX_TASKS_PER_JOB,
  taskName,
  type DecodedProgress,
  type StoredProgress,
  type SuspectRun,
} from './jobCodec.js';
import { BatchError, BatchErrorCode, JobState, type JobSpec, type StepSpec } from './types.js';
import type { Run } from './worker.js';

/**
 * Tasks of open occurrences up to which a progress row creates further ones. Earlier versions opened
 * more occurrences at once than {@link Job.createDueOccurrences} does.
 */
const MAX_RESTORED_TASKS = 10 * MAX_TASKS_PER_JOB;

/** One task of a step, with at most one current run and, where its step allows it, a copy. */
export interface Task {
  step: Step;
  index: number;
  name: string;
  isDone: boolean;
  /** Numbers of the runs that failed. */
  failedRuns: Set<number>;
  nextRun: number;
  /** Consecutive start orders whose run number was too old for the worker. */
  tooOldRejections: number;
  /** Checkpoint to resume from; empty if there is none. */
  checkpoint: string;
  run?: Run;
  /** Second run on another worker; only while there is a first. */
  copy?: Run;
  /** Monotonic time in milliseconds until which the start order of a lost run may be carried out. */
  openOrderUntil: number;
  /** Whether the first run has had a copy; it gets no further one. */
  hadCopy: boolean;
  /** Monotonic time in milliseconds before which the task must not start. */
  notBefore: number;
  /**
   * Whether a run was lost with an unresponsive worker. Another holder may have reached the worker,
   * so a new run may start only while this process is certain to hold the service.
   */
  hasLostRun: boolean;
  /** Roles in crashes of its workers by run number; absent if there were none. */
  crashes?: Map<number, CrashRole>;
  /** Worker on which the task failed last; avoided while there are others. */
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
  /** Number of unfinished tasks without a run; placement skips the step when it is 0. */
  idleCount: number;
  /** Whether one of its tasks may have crashed a worker. */
  hasSuspects: boolean;
  /** Run number shared by the members of a gang. */
  gangRun: number;
  /** Ids of the workers that may run the step; undefined if any worker may. */
  allowedWorkers?: ReadonlySet<string>;
}

/** One execution of all steps of a job. */
export interface Occurrence {
  number: number;
  steps: Step[];
}

/** An open job, with its occurrences and their progress. */
export class Job {
  readonly spec: JobSpec;
  state = JobState.Queued;
  readonly occurrences = new Map<number, Occurrence>();
  hasProgressRow = false;
  /** Number of entries of the progress row that could not be applied. */
  unreadableEntries = 0;
  /**
   * Whether another holder may have taken the job before. If so, its tasks may start only while
   * this process is certain to hold the service.
   */
  mayHaveOtherHolder = false;
  /** Runs of an earlier holder that may have crashed their worker. */
  readonly inheritedSuspects: (SuspectRun & { task: Task })[] = [];
  /** Keys of the inbox rows of the job. */
  readonly inboxKeys = new Set<string>();
  /** State in which the job ends; once it is set, no more tasks start. */
  finalState?: JobState.Succeeded | JobState.Failed | JobState.Cancelled;
  /** Acceptance time in milliseconds, on this process's monotonic clock. */
  readonly acceptedAt: number;
  /** First run number of each task; above the run numbers that earlier holders may have used. */
  readonly #firstRunNumber: number;
  /** Occurrences below this number have ended. */
  #endedOccurrences = 0;
  /** Next occurrence to create. */
  #nextOccurrence = 0;

  constructor(spec: JobSpec, acceptedAt: number, firstRunNumber: number) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.#firstRunNumber = firstRunNumber;
  }

  /** Whether the job runs at scheduled times. */
  get hasSchedule(): boolean {
    return this.spec.occurrences > 0;
  }

  get isLasting(): boolean {
    return this.spec.steps.some((step) => step.isLasting);
  }

  /** Total number of occurrences; 1 for a job without a schedule. */
  get occurrenceCount(): number {
    return Math.max(1, this.spec.occurrences);
  }

  /** Creates the occurrences that are due at a wall-clock time (Unix milliseconds). */
  createDueOccurrences(wallTimeMs: number): void {
    for (let number = this.#nextOccurrence; number < this.occurrenceCount; number++) {
      if (this.hasSchedule && this.spec.firstDueMs + number * this.spec.periodMs > wallTimeMs)
        return;
      // Occurrences that fall due together are created as earlier ones end.
      if (this.#openTasks > 0 && this.#openTasks + this.#tasksPerOccurrence > MAX_TASKS_PER_JOB)
        return;
      if (!this.occurrences.has(number)) this.#createOccurrence(number);
      this.#nextOccurrence = number + 1;
    }
  }

  /** Number of tasks of the open occurrences. */
  get #openTasks(): number {
    return this.occurrences.size * this.#tasksPerOccurrence;
  }

  get #tasksPerOccurrence(): number {
    return this.spec.steps.reduce((sum, { count }) => sum + count, 0);
  }

  #createOccurrence(number: number): Occurrence {
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
        hasSuspects: false,
        gangRun: 0,
      };
      for (let index = 0; index < spec.count; index++) {
        step.tasks.push({
          step,
          index,
          name: taskName(this.spec.id, number, stepNumber, index),
          isDone: false,
          failedRuns: new Set(),
          nextRun: this.#firstRunNumber,
          tooOldRejections: 0,
          checkpoint: '',
          notBefore: 0,
          hasLostRun: false,
          hadCopy: false,
          openOrderUntil: 0,
        });
      }
      occurrence.steps.push(step);
    }
    this.occurrences.set(number, occurrence);
    return occurrence;
  }

  /** Makes a run the current run of a task. */
  attach(task: Task, run: Run): void {
    if (!task.run && !task.isDone) task.step.idleCount--;
    task.run = run;
    task.hadCopy = false;
    task.nextRun = Math.max(task.nextRun, run.number + 1);
  }

  /** Makes a run the second run of a task beside its current one. */
  attachCopy(task: Task, run: Run): void {
    task.copy = run;
    task.nextRun = Math.max(task.nextRun, run.number + 1);
  }

  /** Removes a run of a task. If the current run is removed, the copy takes its place. */
  detach(task: Task, run: Run): void {
    const { copy } = task;
    if (run === copy) delete task.copy;
    if (run !== task.run) return;
    delete task.run;
    delete task.copy;
    if (copy) task.run = copy;
    else if (!task.isDone) task.step.idleCount++;
  }

  /** Finds a task by its numbers; undefined if there is none or its occurrence is not open. */
  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.occurrences.get(occurrence)?.steps[step]?.tasks[index];
  }

  /** All tasks of the open occurrences. */
  *tasks(): Generator<Task> {
    for (const { steps } of this.occurrences.values()) {
      for (const { tasks } of steps) yield* tasks;
    }
  }

  /** Records that a task has succeeded. */
  complete(task: Task): void {
    if (task.isDone) return;
    task.isDone = true;
    if (!task.run) task.step.idleCount--;
    task.step.doneCount++;
    const { occurrence } = task.step;
    const isOver = occurrence.steps.every((step) => step.doneCount === step.spec.count);
    if (isOver) this.#removeEndedOccurrences();
  }

  #removeEndedOccurrences(): void {
    let occurrence = this.occurrences.get(this.#endedOccurrences);
    while (occurrence?.steps.every((step) => step.doneCount === step.spec.count)) {
      this.occurrences.delete(occurrence.number);
      this.#endedOccurrences++;
      occurrence = this.occurrences.get(this.#endedOccurrences);
    }
  }

  /** Whether all tasks of all occurrences have succeeded. */
  get isComplete(): boolean {
    return this.#endedOccurrences >= this.occurrenceCount;
  }

  /** Encodes the value of the progress row. */
  encodeProgress(): string {
    const stored: StoredProgress = { done: {}, failures: {}, ended: this.#endedOccurrences };
    for (const task of this.tasks()) {
      const { step } = task;
      const stepKey = `${step.occurrence.number}.${step.number}`;
      if (task.isDone) (stored.done[stepKey] ??= []).push(task.index);
      else if (task.failedRuns.size > 0) {
        stored.failures[`${stepKey}.${task.index}`] = [...task.failedRuns];
      }
      if (task.isDone) continue;
      if (task.crashes) (stored.crashes ??= {})[`${stepKey}.${task.index}`] = [...task.crashes];
      const run = runsOf(task).find(mayHaveCrashed);
      if (!run) continue;
      const { id: worker, bornMs } = run.worker.record;
      const suspectRun = { run: run.number, worker, bornMs };
      (stored.suspectRuns ??= {})[`${stepKey}.${task.index}`] = suspectRun;
    }
    return JSON.stringify(stored);
  }

  /**
   * Applies a progress row written by {@link encodeProgress}, except for entries that name no task of
   * this job; see {@link unreadableEntries}.
   */
  applyProgress(text: string): Result<this, BatchError> {
    const stored = decodeProgress(text);
    if (stored) {
      this.unreadableEntries = stored.unreadableCount + this.#restore(stored);
      return Result.ok(this);
    }
    const message = `cannot read the progress row of job ${this.spec.id}`;
    return Result.err(new BatchError(BatchErrorCode.BadRow, message));
  }

  #restore({ ended, done, failures, crashes, suspectRuns }: DecodedProgress): number {
    let unknownCount = 0;
    if (ended > this.occurrenceCount) unknownCount++;
    else this.#endedOccurrences = ended;
    this.#nextOccurrence = this.#endedOccurrences;
    const forEachTask = <T>(entries: Record<string, T>, apply: (task: Task, entry: T) => void) => {
      for (const [key, entry] of Object.entries(entries)) {
        const task = this.#storedTask(key);
        if (task) apply(task, entry);
        else unknownCount++;
      }
    };
    for (const [stepKey, indexes] of Object.entries(done)) {
      if (Number(stepKey.split('.')[0]) < this.#endedOccurrences) continue;
      for (const index of indexes) {
        const task = this.#storedTask(`${stepKey}.${index}`);
        if (task) this.complete(task);
        else unknownCount++;
      }
    }
    forEachTask(failures, (task, failedRuns) => {
      task.failedRuns = new Set(failedRuns);
    });
    forEachTask(crashes, (task, roles) => {
      task.crashes = new Map(roles);
      task.step.hasSuspects ||= isCrashSuspect(task);
    });
    forEachTask(suspectRuns, (task, suspectRun) => {
      this.inheritedSuspects.push({ ...suspectRun, task });
    });
    return unknownCount;
  }

  /** The task with the stored key `occurrence.step.index`. */
  #storedTask(key: string): Task | undefined {
    const [occurrence = 0, step = 0, index = 0] = key.split('.').map(Number);
    const isKnown = this.occurrences.has(occurrence);
    const isOpen = occurrence >= this.#endedOccurrences && occurrence < this.occurrenceCount;
    if (!isKnown && isOpen && this.#openTasks < MAX_RESTORED_TASKS)
      this.#createOccurrence(occurrence);
    return this.task(occurrence, step, index);
  }
}

/** The current run of a task and its copy, as far as it has them. */
export function runsOf({ run, copy }: Task): Run[] {
  if (!run) return [];
  return copy ? [run, copy] : [run];
}

/** Whether all steps that a step depends on have succeeded. */
export function isStepReady(step: Step): boolean {
  return step.spec.after.every((number) => {
    const earlier = step.occurrence.steps[number];
    return earlier !== undefined && earlier.doneCount === earlier.spec.count;
  });
}

/** Predicted run time in milliseconds of the longest chain of unfinished steps. */
export function remainingPathMs(occurrence: Occurrence, predictMs: PredictMs = declaredMs): number {
  const ends: number[] = [];
  for (const { spec, doneCount, job } of occurrence.steps) {
    const start = Math.max(0, ...spec.after.map((number) => ends[number] ?? 0));
    ends.push(start + (doneCount === spec.count ? 0 : predictMs(spec, job.spec.queue)));
  }
  return Math.max(0, ...ends);
}

/** Predicted run time in milliseconds of the longest chain of steps of a job. */
export function criticalPathMs(
  { steps, queue }: Pick<JobSpec, 'steps' | 'queue'>,
  predictMs: PredictMs = declaredMs,
): number {
  const ends: number[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map((number) => ends[number] ?? 0));
    ends.push(start + predictMs(step, queue));
  }
  return Math.max(0, ...ends);
}
