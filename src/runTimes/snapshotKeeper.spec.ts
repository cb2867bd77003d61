import test from 'ava';
import { Result } from 'true-myth';
import { createVirtualClock } from '../testing/virtualClock.js';
import { RunTimes } from './runTimes.js';
import { SnapshotKeeper, SnapshotWrite } from './snapshotKeeper.js';

const STEP = { estimateMs: 500, image: 'image', isLasting: false };

function createKeeper(stored: string | undefined, outcome = SnapshotWrite.Written) {
  const clock = createVirtualClock();
  const runTimes = new RunTimes();
  const written: string[] = [];
  const events: string[] = [];
  const counts = new Map<string, number>();
  const failures: { code: string }[] = [];
  const keeper = new SnapshotKeeper({
    service: 'service',
    runTimes,
    clock,
    rowBytes: 65_536,
    log: { info: (event) => events.push(event), warn: (event) => events.push(event) },
    counters: {
      count: (name, reason) =>
        counts.set(`${name} ${reason}`, (counts.get(`${name} ${reason}`) ?? 0) + 1),
    },
    read: () => {
      const failure = failures.pop();
      return Promise.resolve(failure ? Result.err(failure) : Result.ok(stored));
    },
    write: (value) => {
      written.push(value);
      return Promise.resolve(outcome);
    },
  });
  const learn = (samples: number) => {
    for (let i = 0; i < samples; i++) runTimes.observe(STEP, 'queue', 1_000);
  };
  const run = async (ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += 100) {
      await clock.advance(100);
      keeper.update();
    }
  };
  return { keeper, runTimes, written, events, counts, failures, learn, run };
}

const { signal } = new AbortController();

test('snapshots are at least 5 s apart, and nothing is written while little was learned', async (t) => {
  const { keeper, written, learn, run } = createKeeper(undefined);
  await keeper.load(signal);
  learn(100);
  await run(4_900);
  t.is(written.length, 0);
  await run(300);
  t.is(written.length, 1);
  learn(5);
  await run(20_000);
  t.is(written.length, 1);
  await run(10_000);
  t.is(written.length, 2);
  await run(60_000);
  t.is(written.length, 2);
});

test('a snapshot that cannot be read is logged, and learning starts anew', async (t) => {
  const { keeper, runTimes, written, events, counts, learn, run } = createKeeper('{');
  await keeper.load(signal);
  t.deepEqual(events, ['run_times_unreadable']);
  t.is(counts.get('run_times_snapshots not_json'), 1);
  t.is(runTimes.size, 0);
  learn(20);
  await run(5_200);
  t.is(written.length, 1);
});

test('the snapshot of an earlier holder is not replaced before it was read', async (t) => {
  const earlier = new RunTimes();
  for (let i = 0; i < 50; i++) earlier.observe({ ...STEP, image: 'other' }, 'queue', 2_000);
  const rig = createKeeper(earlier.encode());
  for (let i = 0; i < 100; i++) rig.failures.push({ code: 'no_answer' });
  const loaded = rig.keeper.load(signal);
  rig.learn(50);
  await rig.run(10_000);
  t.is(rig.written.length, 0);
  rig.failures.length = 0;
  await rig.run(10_000);
  await loaded;
  t.is(rig.runTimes.size, 2);
  t.is(rig.written.length, 1);
});

test('a snapshot that the store never accepts is not sent again', async (t) => {
  const { keeper, written, events, learn, run } = createKeeper(undefined, SnapshotWrite.Rejected);
  await keeper.load(signal);
  for (let i = 0; i < 5; i++) {
    learn(100);
    await run(10_000);
  }
  t.is(written.length, 1);
  t.deepEqual(events, ['run_times_rejected']);
});
