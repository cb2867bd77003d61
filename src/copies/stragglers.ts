import type { Job, Step, Task } from '../batch/job.js';
import type { StepSpec } from '../batch/types.js';
import { RunPhase } from '../batch/worker.js';
import { copiesDefaults } from './defaults.js';
import type { LearnedTimes, Straggler } from './types.js';

/** Whether a task of a step may have a second run beside its first. */
export function mayHaveCopies({ allowsCopies, isGang, isLasting, fillsSpare }: StepSpec): boolean {
  // Runs of a gang start and end together, and best-effort runs are slow by intent.
  return allowsCopies && !isGang && !isLasting && !fillsSpare;
}

/** Whether the tasks of a step that may have no copies can be stopped and resumed elsewhere. */
export function mayBeResumed(spec: StepSpec): boolean {
  const { savesProgress, isGang, isLasting, fillsSpare } = spec;
  return savesProgress && !isGang && !isLasting && !fillsSpare && !mayHaveCopies(spec);
}

/**
 * Lists the runs that take longer than nearly all tasks like their own, in steps that may have
 * copies, or whose tasks can be resumed elsewhere, and of which another task has ended: if none has, the step itself may be longer than
 * predicted.
 *
 * @param now - monotonic time in milliseconds
 */
export function findStragglers(jobs: Iterable<Job>, now: number, times: LearnedTimes): Straggler[] {
  const found: Straggler[] = [];
  for (const job of jobs) {
    if (job.finalState || !job.spec.steps.some(canBeHelped)) continue;
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) if (canHaveStragglers(step)) addStragglers(step, now, times, found);
    }
  }
  return found;
}

/** Whether anything can be done about a straggler of a step. */
function canBeHelped(spec: StepSpec): boolean {
  return mayHaveCopies(spec) || mayBeResumed(spec);
}

function canHaveStragglers({ spec, doneCount, idleCount }: Step): boolean {
  const runningCount = spec.count - doneCount - idleCount;
  return canBeHelped(spec) && runningCount > 0 && (doneCount > 0 || spec.count === 1);
}

function addStragglers(step: Step, now: number, times: LearnedTimes, found: Straggler[]): void {
  const { spec, job } = step;
  const { queue } = job.spec;
  const limitMs = times.quantileMs(spec, queue, copiesDefaults.stragglerQuantile);
  if (limitMs === undefined) return;
  const freshMs = times.predictMs(spec, queue);
  for (const task of step.tasks) {
    const { run } = task;
    if (!run || !isAlone(task) || run.phase !== RunPhase.Running) continue;
    const elapsedMs = now - run.startedAt;
    if (elapsedMs <= limitMs) continue;
    const remainderMs = times.expectedRemainderMs(spec, queue, elapsedMs);
    found.push({ task, run, elapsedMs, limitMs, remainderMs, freshMs });
  }
}

function isAlone({ isDone, copy }: Task): boolean {
  return !isDone && !copy;
}
