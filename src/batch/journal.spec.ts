import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import { FakeRowStore } from '../testing/batchRig/index.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import { EntryOutcome, headKey, initialHeadValue, Journal, type JournalEntry } from './journal.js';

const SERVICE = 'motions';
const ROW = { table: 'roster', part: SERVICE, key: 'worker-1' };

type Change = 'write' | 'remove';

const cases: { changes: Change[]; exists: boolean }[] = [
  { changes: ['write', 'remove'], exists: false },
  { changes: ['remove', 'write'], exists: true },
  { changes: ['write', 'remove', 'write'], exists: true },
  { changes: ['write', 'write', 'remove'], exists: false },
];

for (const { changes, exists } of cases) {
  // Guards against a worker that is missing in the roster because its removal and its new row were
  // in one transaction: the next holder would start its tasks a second time.
  test(`${changes.join(', ')} of one row: the row ${exists ? 'exists' : 'does not exist'}`, async (t) => {
    const clock = createVirtualClock();
    const store = new FakeRowStore(clock);
    store.put(headKey(SERVICE), initialHeadValue(1));
    const journal = new Journal({
      store: store.clientOf('node'),
      clock,
      log: new DecisionLog({ write: () => true }, clock),
      counters: new Counters(),
      service: SERVICE,
      epoch: 1,
      headVersion: 2,
      takeDirty: () => ({ entries: [], hasMore: false }),
      onLost: (reason) => {
        t.fail(reason);
      },
    });
    const outcomes: EntryOutcome[] = [];
    for (const [index, change] of changes.entries()) {
      const entry: JournalEntry = {
        conditions: [],
        writes: [],
        removes: [],
        settle: (outcome) => void outcomes.push(outcome),
      };
      if (change === 'write') entry.writes.push({ ...ROW, value: String(index) });
      else entry.removes.push(ROW);
      journal.append(entry);
    }
    const controller = new AbortController();
    const task = journal.run(controller.signal);
    await clock.advance(1_000);
    t.deepEqual(
      outcomes,
      changes.map(() => EntryOutcome.Applied),
    );
    t.is(store.rowsOfPart(ROW.table, SERVICE).length, exists ? 1 : 0);
    t.deepEqual(store.invalidCalls, []);
    controller.abort();
    await task;
  });
}

// Guards against an account whose acceptances wait for the store behind the burst of another one.
test('the acceptances of an account do not wait behind the burst of another one', async (t) => {
  const clock = createVirtualClock();
  const store = new FakeRowStore(clock);
  store.put(headKey(SERVICE), initialHeadValue(1));
  const journal = new Journal({
    store: store.clientOf('node'),
    clock,
    log: new DecisionLog({ write: () => true }, clock),
    counters: new Counters(),
    service: SERVICE,
    epoch: 1,
    headVersion: 2,
    takeDirty: () => ({ entries: [], hasMore: false }),
    onLost: (reason) => {
      t.fail(reason);
    },
  });
  const settled: string[] = [];
  const append = (name: string, index: number) => {
    const key = { table: 'job', part: SERVICE, key: `${name}-${index}` };
    journal.append({
      conditions: [{ ...key, version: 0 }],
      writes: [{ ...key, value: '' }],
      removes: [],
      account: { name, weight: 1 },
      settle: () => void settled.push(name),
    });
  };
  for (let index = 0; index < 400; index++) append('loud', index);
  append('calm', 0);
  const controller = new AbortController();
  const task = journal.run(controller.signal);
  await clock.advance(1_000);
  t.is(settled.length, 401);
  t.true(settled.indexOf('calm') < 50, `calm was written as number ${settled.indexOf('calm')}`);
  controller.abort();
  await task;
});
