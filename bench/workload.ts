import { createRandom, type Random } from '../src/random/index.js';
import type { ExecutorSlots } from '../src/scheduling/index.js';
import { WorkKind, type Arrival } from './simulation.js';

/** Slots of one executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** Mean run time of short work in milliseconds. */
export const MEAN_SHORT_MS = 20;

/** Long work runs this many times longer than the mean short work, at the least and the most. */
const LONG_FACTOR = { least: 50, most: 150 };

/** Stragglers run this many times longer than the mean short work. */
const STRAGGLER_FACTOR = 50;

/** Shares of the offered load, in slot time. */
const LONG_LOAD_SHARE = 0.25;
const STRAGGLER_LOAD_SHARE = 0.05;

/** Declared run times are off by up to this factor in either direction. */
const DECLARED_ERROR_FACTOR = 100;

const SHORT_BUDGET_MS = 2_000;
const LONG_BUDGET_MS = 30_000;

const TEAMS = ['a', 'b', 'c', 'd'];
const SHORT_OPERATIONS = ['draw', 'pairing', 'ballot', 'standing'];
const LONG_OPERATIONS = ['export', 'recompute'];

/** Offered load of a service over time, in slots. */
export type Demand = (atMs: number) => number;

/** Long pieces that arrive at once, as when an export is started for every division of an event. */
const BATCH_SIZE = 48;

/** Executors of a service. */
export function createExecutors(service: string, count: number): ExecutorSlots[] {
  return Array.from({ length: count }, (_, i) => ({
    vm: `${service}-${i}`,
    service,
    slots: SLOTS_PER_EXECUTOR,
  }));
}

const meanLongMs = (MEAN_SHORT_MS * (LONG_FACTOR.least + LONG_FACTOR.most)) / 2;

interface KindProfile {
  kind: WorkKind;
  loadShare: number;
  meanMs: number;
  operations: string[];
  budgetMs: number;
  sampleMs: (random: Random) => number;
}

const profiles: KindProfile[] = [
  {
    kind: WorkKind.Short,
    loadShare: 1 - LONG_LOAD_SHARE - STRAGGLER_LOAD_SHARE,
    meanMs: MEAN_SHORT_MS,
    operations: SHORT_OPERATIONS,
    budgetMs: SHORT_BUDGET_MS,
    sampleMs: (random) => random.exponential(MEAN_SHORT_MS),
  },
  {
    kind: WorkKind.Straggler,
    loadShare: STRAGGLER_LOAD_SHARE,
    meanMs: STRAGGLER_FACTOR * MEAN_SHORT_MS,
    operations: SHORT_OPERATIONS,
    // Callers do not know in advance which piece will straggle.
    budgetMs: SHORT_BUDGET_MS,
    sampleMs: () => STRAGGLER_FACTOR * MEAN_SHORT_MS,
  },
  {
    kind: WorkKind.Long,
    loadShare: LONG_LOAD_SHARE,
    meanMs: meanLongMs,
    operations: LONG_OPERATIONS,
    budgetMs: LONG_BUDGET_MS,
    sampleMs: (random) => {
      const { least, most } = LONG_FACTOR;
      return MEAN_SHORT_MS * (least + random.next() * (most - least));
    },
  },
];

/** Arrivals of one service, as Poisson processes per kind of work whose rate follows the demand. */
export function createArrivals(
  service: string,
  demand: Demand,
  endMs: number,
  seed: number,
): Arrival[] {
  const arrivals = profiles.flatMap((profile, i) =>
    arrivalsOfKind(service, profile, demand, endMs, createRandom(seed + i)),
  );
  return sortByTime(arrivals);
}

/**
 * Arrivals of one service at a constant load, with the long work in batches at regular intervals.
 * The last batch has a whole interval until the end.
 */
export function createBatchedArrivals(
  service: string,
  loadSlots: number,
  endMs: number,
  seed: number,
): Arrival[] {
  const [longProfile] = profiles.filter(({ kind }) => kind === WorkKind.Long);
  const arrivals = createArrivals(service, () => loadSlots, endMs, seed).filter(
    ({ kind }) => kind !== WorkKind.Long,
  );
  if (!longProfile) return arrivals;
  const random = createRandom(seed + profiles.length);
  const wantedMs = (BATCH_SIZE * meanLongMs) / (loadSlots * LONG_LOAD_SHARE);
  const intervalMs = endMs / Math.round(endMs / wantedMs);
  for (let atMs = 0; atMs + intervalMs <= endMs; atMs += intervalMs) {
    for (let i = 0; i < BATCH_SIZE; i++) {
      arrivals.push(createArrival(service, longProfile, atMs, random));
    }
  }
  return sortByTime(arrivals);
}

/** Arrivals in order of time. */
export function sortByTime(arrivals: Arrival[]): Arrival[] {
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** Period after which the rate of a Poisson process is looked up again, in milliseconds. */
const RATE_STEP_MS = 100;

function arrivalsOfKind(
  service: string,
  profile: KindProfile,
  demand: Demand,
  endMs: number,
  random: Random,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let stepMs = 0; stepMs < endMs; stepMs += RATE_STEP_MS) {
    const meanGapMs = profile.meanMs / (demand(stepMs) * profile.loadShare);
    let atMs = stepMs + random.exponential(meanGapMs);
    while (atMs < Math.min(endMs, stepMs + RATE_STEP_MS)) {
      arrivals.push(createArrival(service, profile, atMs, random));
      atMs += random.exponential(meanGapMs);
    }
  }
  return arrivals;
}

function createArrival(
  service: string,
  profile: KindProfile,
  atMs: number,
  random: Random,
): Arrival {
  const runMs = Math.max(1, profile.sampleMs(random));
  const error = DECLARED_ERROR_FACTOR ** (2 * random.next() - 1);
  return {
    atMs,
    service,
    team: random.pick(TEAMS),
    operation: random.pick(profile.operations),
    kind: profile.kind,
    runMs,
    declaredMs: runMs * error,
    budgetMs: profile.budgetMs,
  };
}
