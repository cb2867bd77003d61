import test from 'ava';
import { ArrivalRateEstimator } from './arrivals.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import { createRandom } from '../random/index.js';
import { DemandForecast } from './demandForecast.js';

interface Case {
  title: string;
  /** Arrival times in milliseconds, and the work of each job in core-seconds. */
  arrivals: { at: number; work: number }[];
  now: number;
  /** Bounds of the forecast in cores. */
  expected: [number, number];
}

const every = (gapMs: number, fromMs: number, toMs: number, work = 3) =>
  Array.from({ length: (toMs - fromMs) / gapMs }, (_, index) => ({
    at: fromMs + index * gapMs,
    work,
  }));

const cases: Case[] = [
  { title: 'two jobs are too few', arrivals: every(10, 0, 20), now: 20, expected: [0, 0] },
  {
    title: 'a steady rate is forecast as it is',
    arrivals: every(50, 0, 4_000),
    now: 4_000,
    expected: [55, 65],
  },
  {
    title: 'a rising rate is extrapolated',
    arrivals: [...every(200, 0, 2_000), ...every(25, 2_000, 2_600)],
    now: 2_600,
    expected: [100, 200],
  },
  {
    title: 'a falling rate is extrapolated, but never below zero',
    arrivals: every(20, 0, 2_000),
    now: 2_700,
    expected: [0, 10],
  },
  {
    title: 'one large job among many hardly changes the forecast',
    arrivals: [...every(50, 0, 3_950), { at: 3_960, work: 60 }],
    now: 4_000,
    expected: [50, 85],
  },
  {
    title: 'demand ends with the jobs',
    arrivals: every(50, 0, 2_000),
    now: 4_000,
    expected: [0, 0],
  },
];

for (const { title, arrivals, now, expected } of cases) {
  test(title, (t) => {
    const forecast = new DemandForecast();
    for (const { at, work } of arrivals) forecast.add('draws', work * 1e6, at);
    const cores = forecast.expectedCpu(now) / 1_000;
    t.true(cores >= expected[0] && cores <= expected[1], `${cores} cores`);
  });
}

const LEAD_MS = 1_900;
const TURN_MS = 9_000;
const WORK_PER_JOB = 32;

/** Jobs per second during a turn of demand that starts at 2 s. */
function rateAt(now: number, peak: number): number {
  const phase = (now - 2_000) / TURN_MS;
  const share = phase > 0 && phase < 1 ? Math.sin(Math.PI * phase) : 0;
  return peak * (0.05 + 0.95 * share);
}

interface Estimator {
  add(work: number, now: number): void;
  cpu(now: number): number;
}

/** Mean cores by which an estimate misses the demand of the time at which an ordered VM arrives. */
function missedCores(create: () => Estimator, peak: number): number {
  const random = createRandom(7);
  let missed = 0;
  let samples = 0;
  for (let trial = 0; trial < 60; trial++) {
    const estimator = create();
    for (let now = 0; now < 14_000; now += 10) {
      if (random.next() < rateAt(now, peak) / 100) {
        estimator.add(random.exponential(WORK_PER_JOB), now);
      }
      if (now < 1_000 || now % 120 !== 0) continue;
      const demand = rateAt(now + LEAD_MS, peak) * WORK_PER_JOB;
      missed += Math.abs(estimator.cpu(now) / 1_000 - demand);
      samples++;
    }
  }
  return missed / samples;
}

function createArrivalRate(): Estimator {
  const estimator = new ArrivalRateEstimator();
  const step = withStepDefaults({ count: 1, cpuMillis: 1_000 });
  return {
    add: (work, now) => {
      const steps = [{ ...step, estimateMs: work * 1_000 }];
      estimator.add({ steps, queue: 'draws' }, now);
    },
    cpu: (now) => estimator.expectedCpu(now),
  };
}

function createForecast(): Estimator {
  const forecast = new DemandForecast();
  return {
    add: (work, now) => {
      forecast.add('draws', work * 1e6, now);
    },
    cpu: (now) => forecast.expectedCpu(now),
  };
}

// Answers demand that moves between services in turns. Guards against a forecast that is further
// from the demand to come than the plain rate of arrivals.
for (const peak of [30, 90]) {
  test(`turns of ${peak} jobs per second: the forecast misses less than the arrival rate`, (t) => {
    const rate = missedCores(createArrivalRate, peak);
    const forecast = missedCores(createForecast, peak);
    t.log(`missed cores: arrival rate ${Math.round(rate)}, forecast ${Math.round(forecast)}`);
    t.true(forecast < rate);
  });
}
