import { declaredMs, type PredictMs } from '../runTimes/index.js';
import type { JobSpec } from '../batch/types.js';

/** Time over which arrivals are counted. Short compared with demand phases of several seconds. */
const WINDOW_MS = 1_200;
/** Minimum time over which a rate is computed, so that a small burst does not give a high rate. */
const MIN_WINDOW_MS = 500;
/** Minimum number of arrivals for estimating a rate. */
const MIN_ARRIVALS = 3;

interface Arrival {
  at: number;
  /** CPU time in thousandths of a core times milliseconds. */
  work: number;
}

/**
 * Work of the tasks of a job that are neither long-running nor best-effort, in thousandths of a core
 * times milliseconds.
 */
export function workOf(
  { steps, queue }: Pick<JobSpec, 'steps' | 'queue'>,
  predictMs: PredictMs,
): number {
  return steps
    .filter(({ isLasting, fillsSpare }) => !isLasting && !fillsSpare)
    .reduce((sum, step) => sum + step.count * step.cpuMillis * predictMs(step, queue), 0);
}

/**
 * Estimates the CPU needed to keep up with the current arrival rate. It detects a change of demand
 * before a backlog builds up, and does not mistake a backlog for sustained demand.
 */
export class ArrivalRateEstimator {
  #recent: Arrival[] = [];

  /** Records a job; long-running and best-effort tasks do not count towards the rate. */
  add(job: Pick<JobSpec, 'steps' | 'queue'>, now: number, predictMs: PredictMs = declaredMs): void {
    const work = workOf(job, predictMs);
    if (work > 0) this.#recent.push({ at: now, work });
  }

  /** Required CPU in thousandths of a core; 0 while there are too few arrivals for an estimate. */
  expectedCpu(now: number): number {
    this.#recent = this.#recent.filter(({ at }) => now - at <= WINDOW_MS);
    const [oldest] = this.#recent;
    if (!oldest || this.#recent.length < MIN_ARRIVALS) return 0;
    const spanMs = Math.max(MIN_WINDOW_MS, now - oldest.at);
    return this.#recent.reduce((sum, { work }) => sum + work, 0) / spanMs;
  }
}
