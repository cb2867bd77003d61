/** Length of one interval in which arrivals are counted. */
const BIN_MS = 100;
/** Time over which the current rate is measured, and again before it to find its trend. */
const RATE_BINS = 8;
/** Bins that are kept: the current rate, the rate before it, and the bin that is being filled. */
const KEPT_BINS = 2 * RATE_BINS + 1;
/** Minimum number of recent jobs for a forecast. */
const MIN_JOBS = 3;
/**
 * Number of jobs of a queue whose work counts towards its mean. Sizes of jobs vary by more than
 * their mean, so the work of the few jobs in one rate window says little about the next ones.
 */
const MEAN_WORK_JOBS = 60;
/** Multiple of the mean work up to which the work of one job counts; estimates are not checked. */
const MAX_WORK_RATIO = 30;
/** Time for which demand is forecast: a VM that is ordered now runs tasks about this much later. */
const LEAD_MS = 1_900;
/** Share of the trend that is extrapolated; a turn of demand rises ever more slowly to its peak. */
const TREND_DAMPING = 0.5;
/** Standard deviations by which the rate must have changed for the change to count as a trend. */
const TREND_SIGNIFICANCE = 1;
/** Queues that are not used for this long are forgotten. */
const FORGET_MS = 60_000;

interface QueueDemand {
  /** Number of arrivals by bin, oldest first; the last one is the current bin. */
  bins: number[];
  /** Number of the current bin. */
  lastBin: number;
  /** Mean work of a job, in thousandths of a core times milliseconds. */
  meanWork: number;
  jobs: number;
  /** Monotonic time of the last job in milliseconds. */
  lastJobAt: number;
}

/**
 * Forecasts the CPU that arriving jobs will need once a VM ordered now has joined the pool. Answers
 * demand that moves between services in turns of a few seconds: the rate of jobs is extrapolated
 * while it rises or falls, and multiplied by the mean work of many jobs, so that a few large jobs
 * order no VMs that stay empty.
 */
export class DemandForecast {
  readonly #queues = new Map<string, QueueDemand>();

  /**
   * Records a job.
   *
   * @param work - its work in thousandths of a core times milliseconds
   * @param now - monotonic time in milliseconds
   */
  add(queue: string, work: number, now: number): void {
    if (work <= 0) return;
    let demand = this.#queues.get(queue);
    if (!demand) {
      demand = {
        bins: new Array<number>(KEPT_BINS).fill(0),
        lastBin: binOf(now),
        meanWork: 0,
        jobs: 0,
        lastJobAt: now,
      };
      this.#queues.set(queue, demand);
    }
    shiftTo(demand, now);
    demand.bins[KEPT_BINS - 1] = (demand.bins[KEPT_BINS - 1] ?? 0) + 1;
    const { meanWork } = demand;
    const countedWork = demand.jobs < MIN_JOBS ? work : Math.min(work, meanWork * MAX_WORK_RATIO);
    demand.jobs++;
    demand.lastJobAt = now;
    demand.meanWork += (countedWork - meanWork) / Math.min(demand.jobs, MEAN_WORK_JOBS);
  }

  /** Forecast demand in thousandths of a core; 0 while there are too few jobs. */
  expectedCpu(now: number): number {
    let cpu = 0;
    for (const [queue, demand] of this.#queues) {
      shiftTo(demand, now);
      if (now - demand.lastJobAt > FORGET_MS) this.#queues.delete(queue);
      cpu += forecastRate(demand.bins, now % BIN_MS) * demand.meanWork;
    }
    return cpu;
  }
}

/** Forecast rate in jobs per millisecond. */
function forecastRate(bins: readonly number[], currentBinMs: number): number {
  const windowMs = RATE_BINS * BIN_MS;
  const recent = sum(bins.slice(-RATE_BINS - 1));
  const earlier = sum(bins.slice(0, -RATE_BINS - 1));
  if (recent + earlier < MIN_JOBS) return 0;
  const rate = recent / (windowMs + currentBinMs);
  const earlierRate = earlier / windowMs;
  const change = (rate - earlierRate) * windowMs;
  if (Math.abs(change) < TREND_SIGNIFICANCE * Math.sqrt(recent + earlier)) {
    return (recent + earlier) / (2 * windowMs + currentBinMs);
  }
  const slope = (rate - earlierRate) / windowMs;
  return Math.max(0, rate + slope * LEAD_MS * TREND_DAMPING);
}

function binOf(now: number): number {
  return Math.floor(now / BIN_MS);
}

/** Makes the bin of `now` the current one. */
function shiftTo(demand: QueueDemand, now: number): void {
  const steps = Math.min(KEPT_BINS, binOf(now) - demand.lastBin);
  for (let step = 0; step < steps; step++) {
    demand.bins.shift();
    demand.bins.push(0);
  }
  demand.lastBin = Math.max(demand.lastBin, binOf(now));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
