import { policyVariants, type PolicyVariant } from './policies.js';
import { isUseful, simulate, usefulSlots, type Piece } from './simulation.js';
import { BenchmarkId, BoundKind, type Benchmark, type Figure } from './types.js';
import { createArrivals, createExecutors, SLOTS_PER_EXECUTOR } from './workload.js';

const END_MS = 30_000;

/** Start of the measured period in milliseconds. */
const FROM_MS = 5_000;

/** The measured period stops this long before the end, so that what started in it has finished. */
const TAIL_MS = 5_000;
const EXECUTORS = 4;
const CAPACITY = EXECUTORS * SLOTS_PER_EXECUTOR;
const OVERLOAD_FACTOR = 5;

/** Least share of the useful throughput at capacity that remains under overload. */
const LEAST_USEFUL_SHARE = 0.9;

/** A policy and whether the scheduler learns the deadlines. */
export interface OverloadVariant extends PolicyVariant {
  passesDeadlines: boolean;
}

/** All policies with deadlines, after first come first served without them. */
export function overloadVariants(): OverloadVariant[] {
  const informed = policyVariants().map((variant) => ({ ...variant, passesDeadlines: true }));
  const uninformed = informed.slice(0, 1).map((variant) => ({
    ...variant,
    name: `${variant.name} without deadlines`,
    passesDeadlines: false,
  }));
  return [...uninformed, ...informed];
}

/** Options of {@link createOverload}. */
export interface OverloadOptions {
  /** Simulated time in milliseconds. */
  endMs?: number;
  variants?: readonly OverloadVariant[];
}

/** Useful throughput when far more is offered than the slots can do. */
export function createOverload(options: OverloadOptions = {}): Benchmark {
  const { endMs = END_MS, variants = overloadVariants() } = options;
  const run = async (seed: number) => {
    const runs: VariantRun[] = [];
    for (const variant of variants) runs.push(await runVariant(seed, variant, endMs));
    return runs.flatMap((each) => figuresOf(each, runs, endMs - TAIL_MS));
  };
  const title = `Overload: ${OVERLOAD_FACTOR} times the capacity of ${EXECUTORS} executors`;
  return { id: BenchmarkId.Overload, title, run };
}

function simulateLoad(
  seed: number,
  variant: OverloadVariant,
  factor: number,
  endMs: number,
): Promise<Piece[]> {
  return simulate({
    seed,
    policy: variant.policy,
    executors: createExecutors('draws', EXECUTORS),
    arrivals: createArrivals('draws', () => factor * CAPACITY, endMs, seed),
    endMs,
    passesDeadlines: variant.passesDeadlines,
  });
}

/** Useful pieces that finished in a period, per second. */
function usefulRate(pieces: readonly Piece[], fromMs: number, toMs: number): number {
  const useful = pieces.filter(
    (piece) =>
      isUseful(piece) && (piece.finishedAtMs ?? 0) >= fromMs && (piece.finishedAtMs ?? 0) < toMs,
  );
  return useful.length / ((toMs - fromMs) / 1_000);
}

/** What is counted as useful throughput. */
interface Measure {
  name: string;
  unit: string;
  of: (pieces: readonly Piece[], toMs: number) => number;
}

const measures: Measure[] = [
  {
    name: 'slots',
    unit: `of ${CAPACITY} slots`,
    of: (pieces, toMs) => usefulSlots(pieces, FROM_MS, toMs),
  },
  {
    name: 'pieces',
    unit: 'pieces/s',
    of: (pieces, toMs) => usefulRate(pieces, FROM_MS, toMs),
  },
];

/** One variant at capacity and above it. */
interface VariantRun {
  variant: OverloadVariant;
  atCapacity: Piece[];
  overloaded: Piece[];
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

/** Figures of one variant; its bounds refer to the best of all variants at capacity. */
function figuresOf(run: VariantRun, all: readonly VariantRun[], toMs: number): Figure[] {
  const { variant, atCapacity, overloaded } = run;
  const figures = measures.flatMap(({ name, unit, of }): Figure[] => {
    const best = Math.max(...all.map((each) => of(each.atCapacity, toMs)));
    const bound = { kind: BoundKind.AtLeast, value: LEAST_USEFUL_SHARE * best };
    return [
      {
        variant: variant.name,
        name: `useful ${name} at capacity`,
        value: of(atCapacity, toMs),
        unit,
      },
      {
        variant: variant.name,
        name: `useful ${name} at ${OVERLOAD_FACTOR} times capacity`,
        value: of(overloaded, toMs),
        unit,
        bound: variant.isBounded ? bound : undefined,
      },
    ];
  });
  const finished = overloaded.filter(({ finishedAtMs }) => finishedAtMs !== undefined);
  const inTime: Figure = {
    variant: variant.name,
    name: 'finished in time under overload',
    value: finished.filter(isUseful).length / finished.length,
    unit: 'share of finished',
  };
  return [...figures, inTime];
}
