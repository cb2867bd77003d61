import { EventEmitter } from 'node:events';
import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import { guardProcess, UnhandledErrorEvent } from './index.js';

const cases: { title: string; errors: number; gapMs: number; ends: boolean }[] = [
  { title: 'one error', errors: 1, gapMs: 0, ends: false },
  { title: '19 errors at once', errors: 19, gapMs: 0, ends: false },
  { title: '20 errors at once', errors: 20, gapMs: 0, ends: true },
  { title: '100 errors, one every 4 s', errors: 100, gapMs: 4_000, ends: false },
  { title: '100 errors, one every 2 s', errors: 100, gapMs: 2_000, ends: true },
];

for (const { title, errors, gapMs, ends } of cases) {
  for (const event of Object.values(UnhandledErrorEvent)) {
    // Guards against a process that ends with all its tasks because of one unexpected error.
    test(`${title} (${event}): the process ${ends ? 'ends' : 'goes on'}`, async (t) => {
      const source = new EventEmitter();
      const clock = createVirtualClock();
      const reported: string[] = [];
      let hasEnded = false;
      guardProcess(source, {
        clock,
        report: (_, err) => void reported.push(err.message),
        end: () => {
          hasEnded = true;
        },
      });
      for (let count = 0; count < errors; count++) {
        source.emit(event, new Error(`error ${count}`));
        if (gapMs > 0) await clock.advance(gapMs);
      }
      t.is(reported.length, errors);
      t.is(hasEnded, ends);
    });
  }
}
