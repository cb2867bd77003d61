import { policyVariants, type PolicyVariant } from './policies.js';
import {
  isFinishedInTime,
  quantile,
  simulate,
  usefulSlots,
  waitTimesMs,
  WorkKind,
} from './simulation.js';
import { BenchmarkId, BoundKind, type Benchmark, type Figure } from './types.js';
import {
  createArrivals,
  createExecutors,
  SLOTS_PER_EXECUTOR,
  sortByTime,
  type Demand,
} from './workload.js';

const SERVICES = ['motions', 'tabroom', 'breakdesk', 'standings', 'portal'];
const EXECUTORS = 4;
const CAPACITY_SLOTS = EXECUTORS * SLOTS_PER_EXECUTOR;
const PEAK_MS = 4_000;
const CYCLES_PER_RUN = 2;
const END_MS = CYCLES_PER_RUN * SERVICES.length * PEAK_MS;

/** Mean demand as a share of the capacity of a pool; the peak is five times that and exceeds it. */
const MEAN_LOAD_SHARE = 0.3;
const PEAK_FACTOR = 5;
const OFF_PEAK_FACTOR = 1 / 20;

/** Start of each peak in milliseconds that is not measured, because queues fill or drain. */
const PEAK_RAMP_MS = 1_000;

/** Minimum useful utilization of a pool at its peak. */
const MIN_PEAK_UTILIZATION = 0.85;

function demandOf(serviceIndex: number): Demand {
  return (atMs) => {
    const peak = Math.floor(atMs / PEAK_MS) % SERVICES.length;
    const factor = peak === serviceIndex ? PEAK_FACTOR : OFF_PEAK_FACTOR;
    return MEAN_LOAD_SHARE * CAPACITY_SLOTS * factor;
  };
}

async function runPolicy(seed: number, variant: PolicyVariant): Promise<Figure[]> {
  const arrivals = SERVICES.flatMap((service, i) =>
    createArrivals(service, demandOf(i), END_MS, seed + 10 * i),
  );
  const outcomes = await simulate({
    seed,
    policy: variant.policy,
    executors: SERVICES.flatMap((service) => createExecutors(service, EXECUTORS)),
    arrivals: sortByTime(arrivals),
    endMs: END_MS,
  });
  const shortWaitsMs = waitTimesMs(outcomes, WorkKind.Short);
  const peakUtilizations = Array.from({ length: CYCLES_PER_RUN * SERVICES.length }, (_, peak) => {
    const service = SERVICES[peak % SERVICES.length];
    const serviceOutcomes = outcomes.filter(({ arrival }) => arrival.service === service);
    const startMs = peak * PEAK_MS;
    return usefulSlots(serviceOutcomes, startMs + PEAK_RAMP_MS, startMs + PEAK_MS) / CAPACITY_SLOTS;
  });
  const { name: policy, isBounded } = variant;
  const finished = outcomes.filter(({ finishedAtMs }) => finishedAtMs !== undefined);
  return [
    { variant: policy, name: 'short wait median', value: quantile(shortWaitsMs, 0.5), unit: 'ms' },
    { variant: policy, name: 'short wait p99', value: quantile(shortWaitsMs, 0.99), unit: 'ms' },
    { variant: policy, name: 'short wait max', value: quantile(shortWaitsMs, 1), unit: 'ms' },
    {
      variant: policy,
      name: 'useful slots at peak, worst peak',
      value: Math.min(...peakUtilizations),
      unit: 'share of pool',
      bound: isBounded ? { kind: BoundKind.AtLeast, value: MIN_PEAK_UTILIZATION } : undefined,
    },
    {
      variant: policy,
      name: 'useful requests',
      value: outcomes.filter(isFinishedInTime).length / outcomes.length,
      unit: 'share of offered',
    },
    {
      variant: policy,
      name: 'finished in time',
      value: finished.filter(isFinishedInTime).length / finished.length,
      unit: 'share of finished',
    },
  ];
}

/** Creates the benchmark of five services whose demand exceeds their pools one after the other. */
export function createRotatingPeaksBenchmark(): Benchmark {
  const run = async (seed: number) => {
    const figures: Figure[] = [];
    for (const variant of policyVariants()) figures.push(...(await runPolicy(seed, variant)));
    return figures;
  };
  const title = `Rotating peaks: ${SERVICES.length} services at ${PEAK_FACTOR} times their mean for ${PEAK_MS / 1_000} s each`;
  return { id: BenchmarkId.RotatingPeaks, title, run };
}
