import test from 'ava';
import { ArrivalRateEstimator } from './arrivals.js';
import { completeStep } from './jobCodec.js';

const step = completeStep({ count: 6, cpuMillis: 1_000, estimateMs: 500 });

interface Case {
  title: string;
  /** Times of arrivals in milliseconds. */
  at: number[];
  askedAt: number;
  expected: number;
}

const cases: Case[] = [
  { title: 'two arrivals are no rate', at: [0, 10], askedAt: 20, expected: 0 },
  {
    title: 'ten a second of 3 core-seconds',
    at: [0, 100, 200, 300, 400, 500, 600, 700, 800, 900],
    askedAt: 1_000,
    expected: 30_000,
  },
  { title: 'some at once count over half a second', at: [0, 0, 0], askedAt: 1, expected: 18_000 },
  { title: 'the past is forgotten', at: [0, 100, 200, 300], askedAt: 1_600, expected: 0 },
];

for (const { title, at, askedAt, expected } of cases) {
  test(title, (t) => {
    const arrivals = new ArrivalRateEstimator();
    for (const time of at) arrivals.add([step], time);
    t.is(arrivals.expectedCpu(askedAt), expected);
  });
}

test('lasting tasks are no rate', (t) => {
  const arrivals = new ArrivalRateEstimator();
  for (const at of [0, 1, 2, 3]) arrivals.add([{ ...step, isLasting: true }], at);
  t.is(arrivals.expectedCpu(4), 0);
});
