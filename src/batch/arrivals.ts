import type { StepSpec } from './types.js';

/** Time over which arrivals are counted. Short against a turn of demand of some seconds. */
const WINDOW_MS = 1_200;
/** Shortest time over which a rate is taken, so that a few arrivals at once are no high rate. */
const MIN_WINDOW_MS = 500;
/** Fewer arrivals than this say nothing about a rate. */
const MIN_ARRIVALS = 3;

interface Arrival {
  at: number;
  /** Thousandths of a core times milliseconds. */
  work: number;
}

/**
 * Processor that the present rate of arrivals needs in the long run. It tells of a turn of demand
 * before a backlog does, and does not count a backlog as lasting demand.
 */
export class ArrivalRateEstimator {
  #recent: Arrival[] = [];

  /** Records a job; lasting tasks are left out, as they are no rate. */
  add(steps: readonly StepSpec[], now: number): void {
    const work = steps
      .filter(({ isLasting, fillsSpare }) => !isLasting && !fillsSpare)
      .reduce((sum, { count, cpuMillis, estimateMs }) => sum + count * cpuMillis * estimateMs, 0);
    if (work > 0) this.#recent.push({ at: now, work });
  }

  /** Needed processor in thousandths of a core; 0 while there are too few arrivals to tell. */
  expectedCpu(now: number): number {
    this.#recent = this.#recent.filter(({ at }) => now - at <= WINDOW_MS);
    const [oldest] = this.#recent;
    if (!oldest || this.#recent.length < MIN_ARRIVALS) return 0;
    const spanMs = Math.max(MIN_WINDOW_MS, now - oldest.at);
    return this.#recent.reduce((sum, { work }) => sum + work, 0) / spanMs;
  }
}
