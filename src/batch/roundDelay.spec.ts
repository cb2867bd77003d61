import test from 'ava';
import { delayBeforeRoundMs } from './roundDelay.js';

const cases = [
  { title: 'a short round', lastDurationMs: 0.2, sinceLastMs: 0, expected: 1 },
  { title: 'a long round', lastDurationMs: 30, sinceLastMs: 0, expected: 60 },
  { title: 'a long round some time ago', lastDurationMs: 30, sinceLastMs: 45, expected: 15 },
  { title: 'a long round long ago', lastDurationMs: 30, sinceLastMs: 500, expected: 1 },
  { title: 'a round that took a second', lastDurationMs: 1_000, sinceLastMs: 0, expected: 200 },
  {
    title: 'a short round at full load',
    lastDurationMs: 2,
    sinceLastMs: 5,
    minMs: 25,
    expected: 20,
  },
  {
    title: 'a long round at full load',
    lastDurationMs: 30,
    sinceLastMs: 0,
    minMs: 25,
    expected: 60,
  },
  {
    title: 'a quiet time at full load',
    lastDurationMs: 2,
    sinceLastMs: 90,
    minMs: 25,
    expected: 1,
  },
];

// Guards against placement rounds that leave no processor time for the answers of workers.
// Pattern: thousands of waiting tasks, whose starts are answered one by one.
for (const { title, lastDurationMs, sinceLastMs, minMs, expected } of cases) {
  test(`after ${title}, the next one follows in ${expected} ms`, (t) => {
    t.is(delayBeforeRoundMs(lastDurationMs, sinceLastMs, minMs), expected);
  });
}
