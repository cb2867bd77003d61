import test from 'ava';
import { JobRates } from './jobRates.js';

const WINDOW_MS = 5_000;

interface Case {
  title: string;
  weight: number;
  /** Times in milliseconds at which a job is submitted. */
  at: number[];
  /** Numbers of the submissions that are beyond the rate. */
  beyond: number[];
}

const repeat = (count: number, at = 0) => new Array<number>(count).fill(at);

const cases: Case[] = [
  { title: 'a burst of one window is within the rate', weight: 2, at: repeat(10), beyond: [] },
  { title: 'a job above the burst is beyond it', weight: 2, at: repeat(12), beyond: [10, 11] },
  {
    title: 'the rate refills the burst',
    weight: 2,
    at: [...repeat(10), 499, 500, 501],
    beyond: [10, 12],
  },
  {
    title: 'no more than one window accumulates',
    weight: 1,
    at: repeat(7, 60_000),
    beyond: [5, 6],
  },
  { title: 'a weight of 0 can still submit', weight: 0, at: [0, 1, 10_001], beyond: [1] },
  {
    title: 'a clock that steps back adds nothing',
    weight: 1,
    at: [...repeat(5, 9), 0, 9],
    beyond: [5, 6],
  },
];

for (const { title, weight, at, beyond } of cases) {
  test(title, (t) => {
    const rates = new JobRates(WINDOW_MS, () => weight);
    const found = at.flatMap((now, index) => (rates.take('a', now) ? [] : [index]));
    t.deepEqual(found, beyond);
  });
}

// Guards against another burst for every account at each takeover, and against a job that moves
// before or after others because a later holder counts it differently.
test('after a takeover, open jobs count with what was stored', (t) => {
  const rates = new JobRates(WINDOW_MS, () => 1);
  const stored = Array.from({ length: 5 }, () => ({ isBeyondRate: false }));
  const jobs = [...stored, { isBeyondRate: true }, { isBeyondRate: undefined }].map(
    (job, index) => ({ ...job, account: 'a', acceptedAt: index }),
  );
  const decided: [number, boolean][] = [];
  rates.restore([...jobs].reverse(), ({ acceptedAt }, isBeyondRate) => {
    decided.push([acceptedAt, isBeyondRate]);
  });
  t.deepEqual(decided, [[6, true]]);
  t.false(rates.hasRoom('a', 100));
  t.true(rates.hasRoom('a', 1_100));
});

test('a job that was not accepted does not count', (t) => {
  const rates = new JobRates(WINDOW_MS, () => 1);
  for (const now of repeat(5)) t.true(rates.take('a', now));
  t.false(rates.hasRoom('a', 0));
  rates.giveBack('a', 0);
  t.true(rates.take('a', 0));
});
