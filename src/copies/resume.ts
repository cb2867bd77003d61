import { chooseWorker } from '../batch/placement.js';
import type { Worker } from '../batch/worker.js';
import { mayBeResumed } from './stragglers.js';
import type { LearnedTimes, Straggler } from './types.js';

/** Input of {@link findResumable}. */
export interface ResumeRound {
  workers: readonly Worker[];
  /** Monotonic time in milliseconds. */
  now: number;
  times: LearnedTimes;
  /** Time in milliseconds that a task needs to resume from a checkpoint. */
  resumeCostMs: number;
}

/** What resuming a run elsewhere costs, and how slow its worker is. */
export interface ResumeCosts {
  /** Time in milliseconds that a task needs to resume from a checkpoint. */
  resumeCostMs: number;
  /** Factor by which runs on its worker take longer than predicted. */
  slowdown: number;
  /** Time since the last checkpoint of the run, in milliseconds. */
  sinceCheckpointMs: number;
}

/**
 * Time in milliseconds that is gained by stopping a run on a slow worker and resuming it on another
 * from its last checkpoint; negative if it takes longer.
 */
export function resumeGainMs(
  { task, elapsedMs, freshMs }: Pick<Straggler, 'task' | 'elapsedMs' | 'freshMs'>,
  times: LearnedTimes,
  { resumeCostMs, slowdown, sinceCheckpointMs }: ResumeCosts,
): number {
  const { spec, job } = task.step;
  const doneMs = elapsedMs / slowdown;
  const remainingMs =
    doneMs < freshMs ? freshMs - doneMs : times.expectedRemainderMs(spec, job.spec.queue, doneMs);
  const lostMs = sinceCheckpointMs / slowdown;
  return remainingMs * slowdown - (resumeCostMs + lostMs + remainingMs);
}

/**
 * Lists the stragglers on workers known to be slow that should be stopped and resumed on another
 * worker, which has room for them now.
 */
export function findResumable(
  stragglers: readonly Straggler[],
  { workers, now, times, resumeCostMs }: ResumeRound,
): Straggler[] {
  return stragglers.filter((straggler) => {
    const { task, run } = straggler;
    const { step, checkpoint } = task;
    const { worker, checkpointAt } = run;
    if (checkpoint === '' || !mayBeResumed(step.spec)) return false;
    const sinceCheckpointMs = now - (checkpointAt ?? run.startedAt);
    const costs = { resumeCostMs, slowdown: worker.slowdown, sinceCheckpointMs };
    if (resumeGainMs(straggler, times, costs) <= 0) return false;
    const others = workers.filter(
      (other) => other !== worker && other.slowdown <= 1 && other.acceptsRuns(now),
    );
    return chooseWorker(step, task, others) !== undefined;
  });
}
