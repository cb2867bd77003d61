import test from 'ava';
import { ArrivalRateEstimator } from './arrivals.js';
import { completeStep } from './jobCodec.js';

const step = completeStep({ count: 6, cpuMillis: 1_000, estimateMs: 500 });

interface Case {
  title: string;
  /** Times of arrivals in milliseconds. */
  arrivalTimes: number[];
  now: number;
  expected: number;
}

const cases: Case[] = [
  { title: 'two arrivals are no rate', arrivalTimes: [0, 10], now: 20, expected: 0 },
  {
    title: 'ten a second of 3 core-seconds',
    arrivalTimes: [0, 100, 200, 300, 400, 500, 600, 700, 800, 900],
    now: 1_000,
    expected: 30_000,
  },
  {
    title: 'some at once count over half a second',
    arrivalTimes: [0, 0, 0],
    now: 1,
    expected: 18_000,
  },
  { title: 'the past is forgotten', arrivalTimes: [0, 100, 200, 300], now: 1_600, expected: 0 },
];

for (const { title, arrivalTimes, now, expected } of cases) {
  test(title, (t) => {
    const arrivals = new ArrivalRateEstimator();
    for (const time of arrivalTimes) arrivals.add([step], time);
    t.is(arrivals.expectedCpu(now), expected);
  });
}

test('lasting tasks are no rate', (t) => {
  const arrivals = new ArrivalRateEstimator();
  for (const at of [0, 1, 2, 3]) arrivals.add([{ ...step, isLasting: true }], at);
  t.is(arrivals.expectedCpu(4), 0);
});
