import { policyVariants, type PolicyVariant } from './policies.js';
import { isFinishedInTime, simulate, usefulSlots, type RequestOutcome } from './simulation.js';
import { BenchmarkId, BoundKind, type Benchmark, type Figure } from './types.js';
import { createArrivals, createExecutors, SLOTS_PER_EXECUTOR } from './workload.js';

const END_MS = 30_000;

/** Start of the measured period in milliseconds. */
const MEASURED_FROM_MS = 5_000;

/** Time between the measured period and the end, in which requests started in the period finish. */
const END_MARGIN_MS = 5_000;
const EXECUTORS = 4;
const CAPACITY_SLOTS = EXECUTORS * SLOTS_PER_EXECUTOR;
const OVERLOAD_FACTOR = 5;

/** Minimum useful throughput under overload, as a share of that at capacity. */
const MIN_USEFUL_SHARE = 0.9;

/** A policy, with or without deadlines passed to the scheduler. */
export interface OverloadVariant extends PolicyVariant {
  passesDeadlines: boolean;
}

/** Returns first come, first served without deadlines, followed by all policies with deadlines. */
export function overloadVariants(): OverloadVariant[] {
  const withDeadlines = policyVariants().map((variant) => ({ ...variant, passesDeadlines: true }));
  const withoutDeadlines = withDeadlines.slice(0, 1).map((variant) => ({
    ...variant,
    name: `${variant.name} without deadlines`,
    passesDeadlines: false,
  }));
  return [...withoutDeadlines, ...withDeadlines];
}

/** Options of {@link createOverloadBenchmark}. */
export interface OverloadBenchmarkOptions {
  /** Simulated time in milliseconds. */
  endMs?: number;
  variants?: readonly OverloadVariant[];
}

/** Creates the benchmark of useful throughput at a load far above the capacity of the slots. */
export function createOverloadBenchmark(options: OverloadBenchmarkOptions = {}): Benchmark {
  const { endMs = END_MS, variants = overloadVariants() } = options;
  const run = async (seed: number) => {
    const runs: VariantRun[] = [];
    for (const variant of variants) runs.push(await runVariant(seed, variant, endMs));
    return runs.flatMap((each) => figuresOf(each, runs, endMs - END_MARGIN_MS));
  };
  const title = `Overload: ${OVERLOAD_FACTOR} times the capacity of ${EXECUTORS} executors`;
  return { id: BenchmarkId.Overload, title, run };
}

function simulateLoad(
  seed: number,
  variant: OverloadVariant,
  factor: number,
  endMs: number,
): Promise<RequestOutcome[]> {
  return simulate({
    seed,
    policy: variant.policy,
    executors: createExecutors('draws', EXECUTORS),
    arrivals: createArrivals('draws', () => factor * CAPACITY_SLOTS, endMs, seed),
    endMs,
    passesDeadlines: variant.passesDeadlines,
  });
}

/** Requests per second that finished in time within a period. */
function usefulRequestsPerS(
  outcomes: readonly RequestOutcome[],
  fromMs: number,
  toMs: number,
): number {
  const useful = outcomes.filter(
    (outcome) =>
      isFinishedInTime(outcome) &&
      (outcome.finishedAtMs ?? 0) >= fromMs &&
      (outcome.finishedAtMs ?? 0) < toMs,
  );
  return useful.length / ((toMs - fromMs) / 1_000);
}

/** A measure of useful throughput. */
interface ThroughputMeasure {
  name: string;
  unit: string;
  valueOf: (outcomes: readonly RequestOutcome[], toMs: number) => number;
}

const throughputMeasures: ThroughputMeasure[] = [
  {
    name: 'slots',
    unit: `of ${CAPACITY_SLOTS} slots`,
    valueOf: (outcomes, toMs) => usefulSlots(outcomes, MEASURED_FROM_MS, toMs),
  },
  {
    name: 'requests',
    unit: 'requests/s',
    valueOf: (outcomes, toMs) => usefulRequestsPerS(outcomes, MEASURED_FROM_MS, toMs),
  },
];

/** Outcomes of one variant at capacity and under overload. */
interface VariantRun {
  variant: OverloadVariant;
  atCapacity: RequestOutcome[];
  overloaded: RequestOutcome[];
}

async function runVariant(
  seed: number,
  variant: OverloadVariant,
  endMs: number,
): Promise<VariantRun> {
  const atCapacity = await simulateLoad(seed, variant, 1, endMs);
  const overloaded = await simulateLoad(seed, variant, OVERLOAD_FACTOR, endMs);
  return { variant, atCapacity, overloaded };
}

/** Figures of one variant. Its bounds are relative to the best variant at capacity. */
function figuresOf(run: VariantRun, all: readonly VariantRun[], toMs: number): Figure[] {
  const { variant, atCapacity, overloaded } = run;
  const figures = throughputMeasures.flatMap(({ name, unit, valueOf }): Figure[] => {
    const best = Math.max(...all.map((each) => valueOf(each.atCapacity, toMs)));
    const bound = { kind: BoundKind.AtLeast, value: MIN_USEFUL_SHARE * best };
    return [
      {
        variant: variant.name,
        name: `useful ${name} at capacity`,
        value: valueOf(atCapacity, toMs),
        unit,
      },
      {
        variant: variant.name,
        name: `useful ${name} at ${OVERLOAD_FACTOR} times capacity`,
        value: valueOf(overloaded, toMs),
        unit,
        bound: variant.isBounded ? bound : undefined,
      },
    ];
  });
  const finished = overloaded.filter(({ finishedAtMs }) => finishedAtMs !== undefined);
  const finishedInTimeShare: Figure = {
    variant: variant.name,
    name: 'finished in time under overload',
    value: finished.filter(isFinishedInTime).length / finished.length,
    unit: 'share of finished',
  };
  return [...figures, finishedInTimeShare];
}
