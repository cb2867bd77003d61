import type { Task } from '../batch/job.js';
import type { Run } from '../batch/worker.js';

/** How a copy ended. */
export enum CopyEnd {
  /** It ended `done` before the other run. */
  Won = 'won',
  /** The other run ended `done` before. */
  Lost = 'lost',
  Failed = 'failed',
  /** It was stopped, or its lease expired, while the task was not done. */
  Stopped = 'stopped',
  /** Its worker was lost. */
  WorkerLost = 'worker_lost',
  /** Its start order was rejected. */
  NotStarted = 'not_started',
}

/** A run that takes longer than nearly all tasks like its own. Times are in milliseconds. */
export interface Straggler {
  task: Task;
  run: Run;
  /** Time since the start order. */
  elapsedMs: number;
  /** Time that nearly all tasks like this stay below. */
  limitMs: number;
  /** Expected time until the run ends. */
  remainderMs: number;
  /** Predicted time of a run that starts now. */
  freshMs: number;
}

/** The learned run times that the decisions use; see `RunTimes`. */
export interface LearnedTimes {
  predictMs(step: Task['step']['spec'], queue: string): number;
  quantileMs(step: Task['step']['spec'], queue: string, share: number): number | undefined;
  expectedRemainderMs(step: Task['step']['spec'], queue: string, elapsedMs: number): number;
}
