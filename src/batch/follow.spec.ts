import test from 'ava';
import { Result } from 'true-myth';
import { createVirtualClock } from '../testing/index.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import { follow, type Changes } from './follow.js';

// Guards against a process that ends, or no longer follows a table, because of one item in it.
test('a table is read again after changes that could not be applied', async (t) => {
  const clock = createVirtualClock();
  const lines: string[] = [];
  const counters = new Counters();
  const ended = new AbortController();
  let version = 0;
  const next = (): Promise<Result<Changes<number>, never>> =>
    Promise.resolve(Result.ok({ items: [version], removed: [], version: ++version }));
  const applied: [item: number | undefined, isFullRead: boolean][] = [];
  const following = follow(
    {
      name: 'numbers',
      source: { readAll: next, changes: next },
      clock,
      log: new DecisionLog({ write: (text) => lines.push(text) > 0 }, clock),
      counters,
      waitMs: 0,
      pauseMs: 10,
      apply: ({ items: [item] }, isFullRead) => {
        if (item === 1) throw new TypeError('malformed item');
        applied.push([item, isFullRead]);
        if (applied.length === 3) ended.abort();
      },
    },
    ended.signal,
  );
  await clock.advance(1_000);
  await following;
  t.deepEqual(applied, [
    [0, true],
    [2, true],
    [3, false],
  ]);
  t.is(counters.value('follow_failures', 'apply_failed'), 1);
  t.true(lines.some((line) => line.includes('event=changes_not_applied table=numbers')));
});
