import type { Run, Worker } from './worker.js';

/** Tail latency as a share of its target, above which best-effort runs are slowed down. */
const SLOW_DOWN_RATIO = 0.85;
/** Tail latency as a share of its target, below which best-effort runs speed up again. */
const SPEED_UP_RATIO = 0.55;
/** Factor on the pace of a run that is slowed down. */
const SLOW_DOWN_FACTOR = 0.5;
/** A run that would be slowed below this pace is paused. */
const PAUSE_BELOW_PERCENT = 15;
/** Percentage points by which the pace is raised at a time. */
const SPEED_UP_STEP_PERCENT = 20;

/** A new pace for a run. */
export interface PaceChange {
  run: Run;
  percent: number;
}

/**
 * Throttles the best-effort runs of a worker so that its latency-critical tasks meet their targets.
 * Halves the pace at once and raises it in steps, because a missed target costs more than slow
 * best-effort work, and interference changes within seconds.
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

/** Tail latency as a share of its target; 0 for a task without a target or not yet started up. */
function latencyRatio({ task, measurement, percent }: Run): number {
  const { latencyTargetMs } = task.step.spec;
  return latencyTargetMs > 0 && percent > 0 ? measurement / latencyTargetMs : 0;
}
