import test from 'ava';
import { schedulingPolicies, SchedulingPolicyId } from '../src/scheduling/index.js';
import { batchedPattern, createHeadOfLineBenchmark } from './headOfLine.js';
import { createOverloadBenchmark, overloadVariants } from './overload.js';
import { violatedFigures, formatReport } from './report.js';
import {
  BenchmarkId,
  BoundKind,
  type Benchmark,
  type Bound,
  type BenchmarkReport,
} from './types.js';

const SEED = 20_240;

async function report({ id, title, run }: Benchmark): Promise<BenchmarkReport> {
  return { id, title, seed: SEED, figures: await run(SEED) };
}

const bounds: { value: number; bound?: Bound; isBroken: boolean }[] = [
  { value: 5, isBroken: false },
  { value: 5, bound: { kind: BoundKind.AtMost, value: 5 }, isBroken: false },
  { value: 6, bound: { kind: BoundKind.AtMost, value: 5 }, isBroken: true },
  { value: 5, bound: { kind: BoundKind.AtLeast, value: 5 }, isBroken: false },
  { value: 4, bound: { kind: BoundKind.AtLeast, value: 5 }, isBroken: true },
  { value: NaN, bound: { kind: BoundKind.AtLeast, value: 5 }, isBroken: true },
];

for (const { value, bound, isBroken } of bounds) {
  test(`${value} ${JSON.stringify(bound)} is ${isBroken ? 'broken' : 'kept'} and printed`, (t) => {
    const figures = [{ variant: 'v', name: 'wait', value, unit: 'ms', bound }];
    const result = { id: BenchmarkId.RotatingPeaks, title: 'Waits', seed: SEED, figures };
    t.is(violatedFigures([result]).length, isBroken ? 1 : 0);
    t.is(formatReport(result).includes('BROKEN'), isBroken);
  });
}

const { slotShares } = schedulingPolicies[SchedulingPolicyId.FirstComeFirstServed];
const learnedClasses = schedulingPolicies[SchedulingPolicyId.LearnedClasses];
const withoutSlotLimits = { ...learnedClasses, slotShares, isProbed: () => false };
const candidates = overloadVariants().filter(({ isBounded }) => isBounded);
const withoutDeadlines = candidates.map((variant) => ({ ...variant, passesDeadlines: false }));
const patterns = [batchedPattern];
const END_MS = 15_000;

const runs: { name: string; benchmark: Benchmark; isBroken: boolean }[] = [
  {
    name: 'learned classes keep the bounds on waiting',
    benchmark: createHeadOfLineBenchmark({ endMs: END_MS, patterns }),
    isBroken: false,
  },
  {
    name: 'learned classes without a bound on the slots of long work break them',
    benchmark: createHeadOfLineBenchmark({ endMs: END_MS, patterns, candidate: withoutSlotLimits }),
    isBroken: true,
  },
  {
    name: 'refusal on arrival keeps the useful throughput',
    benchmark: createOverloadBenchmark({ endMs: END_MS, variants: candidates }),
    isBroken: false,
  },
  {
    name: 'a scheduler that does not know the deadlines loses it',
    benchmark: createOverloadBenchmark({ endMs: END_MS, variants: withoutDeadlines }),
    isBroken: true,
  },
];

for (const { name, benchmark, isBroken } of runs) {
  test(name, async (t) => {
    const result = await report(benchmark);
    t.is(violatedFigures([result]).length > 0, isBroken, formatReport(result));
  });
}
