import test from 'ava';
import { ArrivalRateEstimator } from './arrivals.js';
import { withStepDefaults } from '../batch/jobCodec.js';

const step = withStepDefaults({ count: 6, cpuMillis: 1_000, estimateMs: 500 });

interface Case {
  title: string;
  /** Arrival times in milliseconds. */
  arrivalTimes: number[];
  now: number;
  expected: number;
}

const cases: Case[] = [
  {
    title: 'two arrivals are too few for an estimate',
    arrivalTimes: [0, 10],
    now: 20,
    expected: 0,
  },
  {
    title: 'ten arrivals per second of 3 core-seconds each need 30 cores',
    arrivalTimes: [0, 100, 200, 300, 400, 500, 600, 700, 800, 900],
    now: 1_000,
    expected: 30_000,
  },
  {
    title: 'a burst is averaged over half a second',
    arrivalTimes: [0, 0, 0],
    now: 1,
    expected: 18_000,
  },
  {
    title: 'arrivals outside the window are ignored',
    arrivalTimes: [0, 100, 200, 300],
    now: 1_600,
    expected: 0,
  },
];

for (const { title, arrivalTimes, now, expected } of cases) {
  test(title, (t) => {
    const arrivals = new ArrivalRateEstimator();
    for (const time of arrivalTimes) arrivals.add({ steps: [step], queue: 'q' }, time);
    t.is(arrivals.expectedCpu(now), expected);
  });
}

test('long-running tasks do not count towards the rate', (t) => {
  const arrivals = new ArrivalRateEstimator();
  for (const at of [0, 1, 2, 3])
    arrivals.add({ steps: [{ ...step, isLasting: true }], queue: 'q' }, at);
  t.is(arrivals.expectedCpu(4), 0);
});
