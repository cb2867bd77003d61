import type { SchedulingPolicy } from '../src/scheduling/index.js';
import { policyVariants } from './policies.js';
import {
  quantile,
  simulate,
  waitTimesMs,
  WorkKind,
  type Arrival,
  type RequestOutcome,
} from './simulation.js';
import { BenchmarkId, BoundKind, type Benchmark, type Bound, type Figure } from './types.js';
import {
  createArrivals,
  createBatchedArrivals,
  createExecutors,
  MEAN_SHORT_RUN_MS,
  SLOTS_PER_EXECUTOR,
} from './workload.js';

const END_MS = 60_000;
const EXECUTORS = 8;
const SMALL_POOL_EXECUTORS = 2;
const LOAD_SHARE = 0.8;

/** Minimum ratio of the 99th percentile waits of first come, first served to learned classes. */
const MIN_P99_WAIT_RATIO = 10;

/** Maximum loss in the completion rate of long work, as a share. */
const MAX_LONG_RATE_LOSS = 0.05;

/** Arrival pattern of long work, and the number of executors. */
export interface ArrivalPattern {
  name: string;
  executors: number;
  createArrivals: (loadSlots: number, endMs: number, seed: number) => Arrival[];
  /** Bound on the 99th percentile wait, given that of first come, first served. */
  maxWaitMs: (baselineMs: number) => number;
}

/** Long work in batches, at the design size of a pool. */
export const batchedPattern: ArrivalPattern = {
  name: 'long work in batches',
  executors: EXECUTORS,
  createArrivals: (loadSlots, endMs, seed) =>
    createBatchedArrivals('draws', loadSlots, endMs, seed),
  maxWaitMs: (baselineMs) => Math.min(MEAN_SHORT_RUN_MS, baselineMs / MIN_P99_WAIT_RATIO),
};

const allPatterns: ArrivalPattern[] = [
  batchedPattern,
  {
    // With 64 slots, long requests even out and first come, first served hardly blocks.
    name: 'long work spread evenly',
    executors: EXECUTORS,
    createArrivals: (loadSlots, endMs, seed) =>
      createArrivals('draws', () => loadSlots, endMs, seed),
    maxWaitMs: () => MEAN_SHORT_RUN_MS,
  },
  {
    // With so few slots, short work waits for other short work at this load, in any order.
    name: `long work in batches, ${SMALL_POOL_EXECUTORS} executors`,
    executors: SMALL_POOL_EXECUTORS,
    createArrivals: (loadSlots, endMs, seed) =>
      createBatchedArrivals('draws', loadSlots, endMs, seed),
    maxWaitMs: (baselineMs) => baselineMs / MIN_P99_WAIT_RATIO,
  },
];

/** Options of {@link createHeadOfLineBenchmark}. */
export interface HeadOfLineBenchmarkOptions {
  /** Simulated time in milliseconds. */
  endMs?: number;
  /** Policy whose figures are compared with the bounds. */
  candidate?: SchedulingPolicy;
  patterns?: readonly ArrivalPattern[];
}

/** Creates the benchmark of the wait time of short work behind long work at 80% load. */
export function createHeadOfLineBenchmark(options: HeadOfLineBenchmarkOptions = {}): Benchmark {
  const { endMs = END_MS, candidate, patterns = allPatterns } = options;
  const run = async (seed: number) => {
    const figures: Figure[] = [];
    for (const pattern of patterns) {
      figures.push(...(await runPattern(pattern, seed, endMs, candidate)));
    }
    return figures;
  };
  const title = `Head-of-line blocking: ${EXECUTORS} executors of ${SLOTS_PER_EXECUTOR} slots at ${LOAD_SHARE * 100}% load`;
  return { id: BenchmarkId.HeadOfLine, title, run };
}

async function runPattern(
  pattern: ArrivalPattern,
  seed: number,
  endMs: number,
  candidate: SchedulingPolicy | undefined,
): Promise<Figure[]> {
  const executors = createExecutors('draws', pattern.executors);
  const loadSlots = LOAD_SHARE * pattern.executors * SLOTS_PER_EXECUTOR;
  const arrivals = pattern.createArrivals(loadSlots, endMs, seed);
  const figures: Figure[] = [];
  let baseline: RequestOutcome[] | undefined;
  for (const { name, policy, isBounded } of policyVariants(candidate)) {
    const outcomes = await simulate({ seed, policy, executors, arrivals, endMs });
    baseline ??= outcomes;
    const bounds = isBounded ? boundsRelativeTo(baseline, pattern, endMs) : undefined;
    figures.push(...figuresOf(`${name}, ${pattern.name}`, outcomes, endMs, bounds));
  }
  return figures;
}

/** Bounds relative to first come, first served with the same arrivals. */
interface Bounds {
  shortP99: Bound;
  longRate: Bound;
}

function boundsRelativeTo(
  baseline: readonly RequestOutcome[],
  pattern: ArrivalPattern,
  endMs: number,
): Bounds {
  const baselineP99Ms = quantile(waitTimesMs(baseline, WorkKind.Short), 0.99);
  const minLongRate = (1 - MAX_LONG_RATE_LOSS) * longCompletionRate(baseline, endMs);
  return {
    shortP99: { kind: BoundKind.AtMost, value: pattern.maxWaitMs(baselineP99Ms) },
    longRate: { kind: BoundKind.AtLeast, value: minLongRate },
  };
}

/** Long requests finished per second. */
function longCompletionRate(outcomes: readonly RequestOutcome[], endMs: number): number {
  const finished = outcomes.filter(
    ({ arrival, finishedAtMs }) => arrival.kind === WorkKind.Long && finishedAtMs !== undefined,
  );
  return finished.length / (endMs / 1_000);
}

function figuresOf(
  variant: string,
  outcomes: readonly RequestOutcome[],
  endMs: number,
  bounds: Bounds | undefined,
): Figure[] {
  const shortWaitsMs = waitTimesMs(outcomes, WorkKind.Short);
  const longWaitsMs = waitTimesMs(outcomes, WorkKind.Long);
  return [
    { variant, name: 'short wait median', value: quantile(shortWaitsMs, 0.5), unit: 'ms' },
    {
      variant,
      name: 'short wait p99',
      value: quantile(shortWaitsMs, 0.99),
      unit: 'ms',
      bound: bounds?.shortP99,
    },
    { variant, name: 'short wait max', value: quantile(shortWaitsMs, 1), unit: 'ms' },
    { variant, name: 'short started', value: shortWaitsMs.length, unit: 'requests' },
    { variant, name: 'long wait p99', value: quantile(longWaitsMs, 0.99), unit: 'ms' },
    {
      variant,
      name: 'long completion rate',
      value: longCompletionRate(outcomes, endMs),
      unit: 'requests/s',
      bound: bounds?.longRate,
    },
  ];
}
