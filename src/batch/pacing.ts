import type { Run, Worker } from './worker.js';

/** Share of the response time target above which what fills beside a task is slowed. */
const SLOW_DOWN_RATIO = 0.85;
/** Share of the target below which what fills may speed up again. */
const SPEED_UP_RATIO = 0.55;
/** Share at which a slowed task works next, as part of its present share. */
const SLOW_DOWN_FACTOR = 0.5;
/** Below this percentage a slowed task pauses. */
const PAUSE_BELOW_PERCENT = 15;
/** Percentage points added while all serving tasks are well below their targets. */
const SPEED_UP_STEP_PERCENT = 20;

/** A new pace for a run, in percent. */
export interface PaceChange {
  run: Run;
  percent: number;
}

/**
 * Paces the tasks that fill a worker so that the serving ones beside them stay below their
 * response time targets. Slows at once by half and speeds up in steps, because a missed target
 * costs more than slow filling and the disturbance changes within seconds.
 */
export function choosePaces(worker: Worker): PaceChange[] {
  const runs = [...worker.runs.values()];
  const bestEffortRuns = runs.filter(({ task }) => task.step.spec.fillsSpare);
  if (bestEffortRuns.length === 0) return [];
  const highestRatio = Math.max(0, ...runs.map(latencyRatio));
  if (highestRatio > SLOW_DOWN_RATIO) {
    return bestEffortRuns
      .filter(({ pace }) => pace > 0)
      .map((run) => ({ run, percent: slowedPace(run) }));
  }
  if (highestRatio >= SPEED_UP_RATIO) return [];
  return bestEffortRuns
    .filter(({ pace }) => pace < 100)
    .map((run) => ({ run, percent: Math.min(100, run.pace + SPEED_UP_STEP_PERCENT) }));
}

function slowedPace({ pace }: Run): number {
  const next = Math.floor(pace * SLOW_DOWN_FACTOR);
  return next < PAUSE_BELOW_PERCENT ? 0 : next;
}

/** Response time tail as a share of the target; 0 for a task that serves nobody. */
function latencyRatio({ task, measurement, percent }: Run): number {
  const { latencyTargetMs } = task.step.spec;
  return latencyTargetMs > 0 && percent > 0 ? measurement / latencyTargetMs : 0;
}
