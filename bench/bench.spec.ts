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

const bounds: { value: number; bound?: Bound; isViolated: boolean }[] = [
  { value: 5, isViolated: false },
  { value: 5, bound: { kind: BoundKind.AtMost, value: 5 }, isViolated: false },
  { value: 6, bound: { kind: BoundKind.AtMost, value: 5 }, isViolated: true },
  { value: 5, bound: { kind: BoundKind.AtLeast, value: 5 }, isViolated: false },
  { value: 4, bound: { kind: BoundKind.AtLeast, value: 5 }, isViolated: true },
  { value: NaN, bound: { kind: BoundKind.AtLeast, value: 5 }, isViolated: true },
];

for (const { value, bound, isViolated } of bounds) {
  test(`figure ${value} with bound ${JSON.stringify(bound)} is reported as ${isViolated ? 'violated' : 'met'}`, (t) => {
    const figures = [{ variant: 'v', name: 'wait', value, unit: 'ms', bound }];
    const result = { id: BenchmarkId.RotatingPeaks, title: 'Waits', seed: SEED, figures };
    t.is(violatedFigures([result]).length, isViolated ? 1 : 0);
    t.is(formatReport(result).includes('BROKEN'), isViolated);
  });
}

const { slotShares } = schedulingPolicies[SchedulingPolicyId.FirstComeFirstServed];
const learnedClasses = schedulingPolicies[SchedulingPolicyId.LearnedClasses];
const withoutSlotLimits = { ...learnedClasses, slotShares, isProbed: () => false };
const candidates = overloadVariants().filter(({ isBounded }) => isBounded);
const withoutDeadlines = candidates.map((variant) => ({ ...variant, passesDeadlines: false }));
const patterns = [batchedPattern];
const END_MS = 15_000;

const runs: { name: string; benchmark: Benchmark; isViolated: boolean }[] = [
  {
    name: 'learned classes meet the bounds on wait times',
    benchmark: createHeadOfLineBenchmark({ endMs: END_MS, patterns }),
    isViolated: false,
  },
  {
    name: 'learned classes without a slot limit for long work violate the bounds on wait times',
    benchmark: createHeadOfLineBenchmark({ endMs: END_MS, patterns, candidate: withoutSlotLimits }),
    isViolated: true,
  },
  {
    name: 'refusing requests on arrival preserves the useful throughput under overload',
    benchmark: createOverloadBenchmark({ endMs: END_MS, variants: candidates }),
    isViolated: false,
  },
  {
    name: 'a scheduler without deadlines loses useful throughput under overload',
    benchmark: createOverloadBenchmark({ endMs: END_MS, variants: withoutDeadlines }),
    isViolated: true,
  },
];

for (const { name, benchmark, isViolated } of runs) {
  test(name, async (t) => {
    const result = await report(benchmark);
    t.is(violatedFigures([result]).length > 0, isViolated, formatReport(result));
  });
}
