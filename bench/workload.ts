import { createRandom, type Random } from '../src/random/index.js';
import type { ExecutorSlots } from '../src/scheduling/index.js';
import { WorkKind, type Arrival } from './simulation.js';

/** Number of slots of each executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** Mean run time of short work in milliseconds. */
export const MEAN_SHORT_RUN_MS = 20;

/** Run time of long work, as a multiple of the mean run time of short work. */
const LONG_RUN_TIME_FACTOR = { min: 50, max: 150 };

/** Run time of stragglers, as a multiple of the mean run time of short work. */
const STRAGGLER_RUN_TIME_FACTOR = 50;

/** Shares of the offered load, measured in slot time. */
const LONG_LOAD_SHARE = 0.25;
const STRAGGLER_LOAD_SHARE = 0.05;

/** Declared run times are off by up to this factor in either direction. */
const DECLARED_ERROR_FACTOR = 100;

const SHORT_TIMEOUT_MS = 2_000;
const LONG_TIMEOUT_MS = 30_000;

const TEAMS = ['a', 'b', 'c', 'd'];
const SHORT_OPERATIONS = ['draw', 'pairing', 'ballot', 'standing'];
const LONG_OPERATIONS = ['export', 'recompute'];

/** Offered load of a service over time, in slots. */
export type Demand = (atMs: number) => number;

/** Long requests that arrive at once, as when an export starts for every division of an event. */
const BATCH_SIZE = 48;

/** Creates the executors of a service. */
export function createExecutors(service: string, count: number): ExecutorSlots[] {
  return Array.from({ length: count }, (_, i) => ({
    vm: `${service}-${i}`,
    service,
    slots: SLOTS_PER_EXECUTOR,
  }));
}

const meanLongRunMs =
  (MEAN_SHORT_RUN_MS * (LONG_RUN_TIME_FACTOR.min + LONG_RUN_TIME_FACTOR.max)) / 2;

interface WorkProfile {
  kind: WorkKind;
  loadShare: number;
  meanRunMs: number;
  operations: string[];
  timeoutMs: number;
  sampleRunMs: (random: Random) => number;
}

const profiles: WorkProfile[] = [
  {
    kind: WorkKind.Short,
    loadShare: 1 - LONG_LOAD_SHARE - STRAGGLER_LOAD_SHARE,
    meanRunMs: MEAN_SHORT_RUN_MS,
    operations: SHORT_OPERATIONS,
    timeoutMs: SHORT_TIMEOUT_MS,
    sampleRunMs: (random) => random.exponential(MEAN_SHORT_RUN_MS),
  },
  {
    kind: WorkKind.Straggler,
    loadShare: STRAGGLER_LOAD_SHARE,
    meanRunMs: STRAGGLER_RUN_TIME_FACTOR * MEAN_SHORT_RUN_MS,
    operations: SHORT_OPERATIONS,
    // Callers do not know in advance which requests will be stragglers.
    timeoutMs: SHORT_TIMEOUT_MS,
    sampleRunMs: () => STRAGGLER_RUN_TIME_FACTOR * MEAN_SHORT_RUN_MS,
  },
  {
    kind: WorkKind.Long,
    loadShare: LONG_LOAD_SHARE,
    meanRunMs: meanLongRunMs,
    operations: LONG_OPERATIONS,
    timeoutMs: LONG_TIMEOUT_MS,
    sampleRunMs: (random) => {
      const { min, max } = LONG_RUN_TIME_FACTOR;
      return MEAN_SHORT_RUN_MS * (min + random.next() * (max - min));
    },
  },
];

/**
 * Creates the arrivals of one service, with a Poisson process for each kind of work. The rates
 * follow the demand.
 */
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
 * Creates the arrivals of one service at a constant load, with long work in batches at regular
 * intervals. The last batch arrives one whole interval before the end.
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
  const targetIntervalMs = (BATCH_SIZE * meanLongRunMs) / (loadSlots * LONG_LOAD_SHARE);
  const intervalMs = endMs / Math.round(endMs / targetIntervalMs);
  for (let atMs = 0; atMs + intervalMs <= endMs; atMs += intervalMs) {
    for (let i = 0; i < BATCH_SIZE; i++) {
      arrivals.push(createArrival(service, longProfile, atMs, random));
    }
  }
  return sortByTime(arrivals);
}

/** Sorts arrivals by time, in place. */
export function sortByTime(arrivals: Arrival[]): Arrival[] {
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** Interval in milliseconds at which the rate of a Poisson process is updated. */
const RATE_STEP_MS = 100;

function arrivalsOfKind(
  service: string,
  profile: WorkProfile,
  demand: Demand,
  endMs: number,
  random: Random,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let stepMs = 0; stepMs < endMs; stepMs += RATE_STEP_MS) {
    const meanGapMs = profile.meanRunMs / (demand(stepMs) * profile.loadShare);
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
  profile: WorkProfile,
  atMs: number,
  random: Random,
): Arrival {
  const runMs = Math.max(1, profile.sampleRunMs(random));
  const errorFactor = DECLARED_ERROR_FACTOR ** (2 * random.next() - 1);
  return {
    atMs,
    service,
    team: random.pick(TEAMS),
    operation: random.pick(profile.operations),
    kind: profile.kind,
    runMs,
    declaredMs: runMs * errorFactor,
    timeoutMs: profile.timeoutMs,
  };
}
