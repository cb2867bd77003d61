import { isCrashSuspect, isProbableCause } from './crashSuspects.js';
import type { Step, Task } from './job.js';
import { isAllowed, isStartable, type Assignment, type PlacementRound } from './placement.js';
import type { Worker } from './worker.js';

/** How long a worker gets no other starts after that of a suspect. */
const PROBATION_MS = 250;
/** Longest time for which a worker gets no starts, so that its runs end before a suspect starts. */
const DRAIN_MS = 1_000;
/** Largest share of the workers that get no other starts because of suspects. */
const MAX_ISOLATING_SHARE = 0.5;

/**
 * Places tasks that may have crashed a worker, each on a worker that gets no other starts meanwhile,
 * so that a further crash has one possible cause and ends few other runs. Members of a gang are
 * placed together with the other tasks.
 *
 * @param assign - called for each assignment; must reserve the worker's resources synchronously
 * @returns number of tasks that could not be placed
 */
export function placeSuspects(
  round: PlacementRound,
  assign: (assignment: Assignment) => void,
): number {
  let startsLeft = round.maxStarts ?? Infinity;
  let waitingCount = 0;
  for (const step of round.steps) {
    if (!step.hasSuspects || step.spec.isGang) continue;
    for (const task of step.tasks) {
      if (!isCrashSuspect(task) || !isStartable(task, round)) continue;
      const mayStart = startsLeft > 0 && (round.allowedStarts?.(step, 1) ?? 1) > 0;
      const worker = mayStart ? prepareWorker(step, task, round) : undefined;
      if (!worker) {
        waitingCount++;
        continue;
      }
      startsLeft--;
      assign({ task, worker });
    }
  }
  return waitingCount;
}

/** Returns a worker on which the suspect may start now; undefined if it has to wait. */
function prepareWorker(step: Step, task: Task, round: PlacementRound): Worker | undefined {
  const { workers, now } = round;
  const fits = (worker: Worker) => worker.isUsable(now) && isAllowed(step, worker, []);
  const reserved = workers.find((worker) => worker.isolatedFor === task && fits(worker));
  const worker =
    reserved ?? chooseWorker(workers.filter((other) => other.acceptsRuns(now) && fits(other)));
  if (!worker) return undefined;
  if (isProbableCause(task) && hasShortRuns(worker)) {
    const isWaiting = worker === reserved && worker.isolatedUntil > now;
    if (isWaiting) return undefined;
    if (worker !== reserved) {
      if (mayIsolateMore(round)) {
        worker.isolatedFor = task;
        worker.isolatedUntil = now + DRAIN_MS;
      }
      return undefined;
    }
  }
  if (worker !== reserved && !mayIsolateMore(round)) return undefined;
  delete worker.isolatedFor;
  worker.isolatedUntil = now + PROBATION_MS;
  return worker;
}

function mayIsolateMore({ workers, now }: PlacementRound): boolean {
  const isolating = workers.filter(({ isolatedUntil }) => isolatedUntil > now).length;
  return isolating < Math.max(1, Math.floor(workers.length * MAX_ISOLATING_SHARE));
}

/** The worker with the fewest runs, which a crash would end. */
function chooseWorker(workers: readonly Worker[]): Worker | undefined {
  let best: Worker | undefined;
  for (const worker of workers) if (!best || worker.runs.size < best.runs.size) best = worker;
  return best;
}

function hasShortRuns(worker: Worker): boolean {
  return [...worker.runs.values()].some(({ task }) => !task.step.spec.isLasting);
}
