import { policyVariants, type PolicyVariant } from './policies.js';
import { isUseful, quantile, simulate, usefulSlots, waitsOf, WorkKind } from './simulation.js';
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
const CAPACITY = EXECUTORS * SLOTS_PER_EXECUTOR;
const TURN_MS = 4_000;
const CYCLES = 2;
const END_MS = CYCLES * SERVICES.length * TURN_MS;

/** Mean demand as a share of a pool; five times this is more than the pool holds. */
const MEAN_LOAD_SHARE = 0.3;
const TURN_FACTOR = 5;
const REST_FACTOR = 1 / 20;

/** Queues fill and run empty at the edges of a turn, which are left out, in milliseconds. */
const TURN_EDGE_MS = 1_000;

const LEAST_TURN_USE = 0.85;

function demandOf(serviceIndex: number): Demand {
  return (atMs) => {
    const turn = Math.floor(atMs / TURN_MS) % SERVICES.length;
    const factor = turn === serviceIndex ? TURN_FACTOR : REST_FACTOR;
    return MEAN_LOAD_SHARE * CAPACITY * factor;
  };
}

async function runPolicy(seed: number, variant: PolicyVariant): Promise<Figure[]> {
  const arrivals = SERVICES.flatMap((service, i) =>
    createArrivals(service, demandOf(i), END_MS, seed + 10 * i),
  );
  const pieces = await simulate({
    seed,
    policy: variant.policy,
    executors: SERVICES.flatMap((service) => createExecutors(service, EXECUTORS)),
    arrivals: sortByTime(arrivals),
    endMs: END_MS,
  });
  const waits = waitsOf(pieces, WorkKind.Short);
  const turns = Array.from({ length: CYCLES * SERVICES.length }, (_, turn) => {
    const service = SERVICES[turn % SERVICES.length];
    const ofService = pieces.filter(({ arrival }) => arrival.service === service);
    const startMs = turn * TURN_MS;
    return usefulSlots(ofService, startMs + TURN_EDGE_MS, startMs + TURN_MS) / CAPACITY;
  });
  const { name: policy, isBounded } = variant;
  const finished = pieces.filter(({ finishedAtMs }) => finishedAtMs !== undefined);
  return [
    { variant: policy, name: 'short wait median', value: quantile(waits, 0.5), unit: 'ms' },
    { variant: policy, name: 'short wait p99', value: quantile(waits, 0.99), unit: 'ms' },
    { variant: policy, name: 'short wait max', value: quantile(waits, 1), unit: 'ms' },
    {
      variant: policy,
      name: 'useful slots in turns, worst turn',
      value: Math.min(...turns),
      unit: 'share of pool',
      bound: isBounded ? { kind: BoundKind.AtLeast, value: LEAST_TURN_USE } : undefined,
    },
    {
      variant: policy,
      name: 'useful pieces',
      value: pieces.filter(isUseful).length / pieces.length,
      unit: 'share of offered',
    },
    {
      variant: policy,
      name: 'finished in time',
      value: finished.filter(isUseful).length / finished.length,
      unit: 'share of finished',
    },
  ];
}

/** Five services whose demand peaks in turn above what their pools hold. */
export function createTurns(): Benchmark {
  const run = async (seed: number) => {
    const figures: Figure[] = [];
    for (const variant of policyVariants()) figures.push(...(await runPolicy(seed, variant)));
    return figures;
  };
  const title = `Demand in turns: ${SERVICES.length} services at ${TURN_FACTOR} times their mean for ${TURN_MS / 1_000} s each`;
  return { id: BenchmarkId.Turns, title, run };
}
