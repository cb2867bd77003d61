import test from 'ava';
import fc from 'fast-check';
import { createVirtualClock } from '../testing/index.js';
import { FairQueue } from './fairQueue.js';
import { RunTimeTable } from './runTimes.js';
import { TimerQueue, type TimerEntry } from './timerQueue.js';

const SEED = 20240;

function createTable(onEvict = () => undefined as unknown) {
  return new RunTimeTable({
    maxOperations: 100,
    learningWindow: 64,
    classQuantile: 0.8,
    admissionQuantile: 0.9,
    onEvict: () => void onEvict(),
  });
}

test('the run time table evicts the least recently used operations and reports evictions', (t) => {
  let evicted = 0;
  const table = createTable(() => (evicted += 1));
  for (let i = 0; i < 100; i++) table.observe('s', `op${i}`, 10);
  table.estimate('s', 'op0');
  for (let i = 100; i < 150; i++) table.observe('s', `op${i}`, 10);
  t.is(table.size, 100);
  t.is(evicted, 50);
  t.truthy(table.estimate('s', 'op0'));
  t.is(table.estimate('s', 'op1'), undefined);
});

const runTimeCases: { name: string; runs: number[]; classMs: [number, number] }[] = [
  {
    name: 'constant run times give a matching estimate',
    runs: Array<number>(50).fill(20),
    classMs: [20, 30],
  },
  {
    name: 'one straggler in twenty does not change the estimate',
    runs: Array.from({ length: 100 }, (_, i) => (i % 20 === 0 ? 60_000 : 20)),
    classMs: [20, 30],
  },
  {
    name: 'the estimate follows an operation that becomes slow',
    runs: [...Array<number>(200).fill(20), ...Array<number>(64).fill(5_000)],
    classMs: [5_000, 7_500],
  },
];

for (const { name, runs, classMs } of runTimeCases) {
  test(`run time table: ${name}`, (t) => {
    const table = createTable();
    for (const ms of runs) table.observe('s', 'op', ms);
    const estimate = table.estimate('s', 'op')?.classMs ?? 0;
    t.true(estimate >= classMs[0] && estimate <= classMs[1], `${estimate} ms`);
  });
}

test('a timer queue delivers values in due order and skips removed entries', async (t) => {
  const entries = fc.array(fc.record({ dueAt: fc.nat(1_000), isRemoved: fc.boolean() }));
  const property = fc.asyncProperty(entries, async (specs) => {
    const clock = createVirtualClock();
    const seen: { dueAt: number; at: number }[] = [];
    const queue = new TimerQueue<number>(clock, (dueAt) => seen.push({ dueAt, at: clock.now() }));
    const added: TimerEntry<number>[] = specs.map(({ dueAt }) => queue.add(dueAt, dueAt));
    added.forEach((entry, i) => {
      if (specs[i]?.isRemoved) queue.remove(entry);
    });
    await clock.advance(2_000);
    const expected = specs.filter((entry) => !entry.isRemoved).map((entry) => entry.dueAt);
    t.deepEqual(
      seen.map((entry) => entry.at),
      expected.sort((a, b) => a - b),
    );
    t.true(seen.every((entry) => entry.at === entry.dueAt));
    t.is(queue.size, 0);
  });
  await fc.assert(property, { seed: SEED, numRuns: 100 });
});

const QUANTUM_MS = 100;

/** Largest difference in service per weight between two flows that have items, in milliseconds. */
function largestGapMs(
  weights: number[],
  costs: number[],
  flowOf: (flow: number) => number,
): number {
  const queue = new FairQueue<number>(QUANTUM_MS);
  const remaining = weights.map(() => costs.length);
  for (const costMs of costs) {
    weights.forEach((weight, flow) => queue.push(String(flowOf(flow)), weight, flow, costMs));
  }
  const served = weights.map(() => 0);
  let gapMs = 0;
  while (remaining.every((count) => count > 0)) {
    const entry = queue.head();
    if (!entry) break;
    queue.take(entry);
    const flow = entry.value;
    remaining[flow] = (remaining[flow] ?? 0) - 1;
    served[flow] = (served[flow] ?? 0) + entry.costMs / (weights[flow] ?? 1);
    gapMs = Math.max(gapMs, Math.max(...served) - Math.min(...served));
  }
  return gapMs;
}

test('flows are served in proportion to their weights within two rounds, unlike a single flow', (t) => {
  const weights = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 5 });
  const costs = fc.array(fc.integer({ min: 1, max: QUANTUM_MS }), { minLength: 1, maxLength: 60 });
  const isFair = (flowOf: (flow: number) => number) =>
    fc.property(weights, costs, (w, c) => largestGapMs(w, c, flowOf) <= 2 * QUANTUM_MS);
  fc.assert(
    isFair((flow) => flow),
    { seed: SEED, numRuns: 300 },
  );
  t.true(
    fc.check(
      isFair(() => 0),
      { seed: SEED, numRuns: 300 },
    ).failed,
  );
});
