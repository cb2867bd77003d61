import test from 'ava';
import type { PlatformClient } from '../platform/index.js';
import {
  CallFault,
  createVirtualClock,
  FakePlatform,
  idList,
  withFaults,
} from '../testing/index.js';
import { JobWriter, WriteOutcome } from './jobWriter.js';

const LEASE = 'lease/zone/z';

interface WriterCase {
  name: string;
  /** Changes the table without the writer knowing. */
  before?: (platform: FakePlatform) => void;
  faults?: (name: string) => CallFault;
  /** Lease row versions that `leaseCondition` returns, one per call; the last one repeats. */
  lease?: (number | undefined)[];
  outcomes: [WriteOutcome, WriteOutcome];
  /** Whether each row was written. */
  written: [boolean, boolean];
}

const { Committed, Stale, NotWritten, LeaseLost } = WriteOutcome;

function setRow(platform: FakePlatform, key: string, version: number): void {
  platform.rows.set(key, { key, version, value: {} });
}

// Guards against reporting a write as certain when memory and table may differ.
const cases: WriterCase[] = [
  { name: 'nothing fails', outcomes: [Committed, Committed], written: [true, true] },
  {
    name: 'another process wrote one of the rows',
    before: (platform) => {
      setRow(platform, 'job/z/a', 2);
    },
    outcomes: [Stale, Committed],
    written: [false, true],
  },
  {
    name: 'the answer is lost',
    faults: (name) => (name === 'transact' ? CallFault.LoseAnswer : CallFault.None),
    outcomes: [Committed, Committed],
    written: [true, true],
  },
  {
    name: 'the call is lost',
    faults: (name) => (name === 'transact' ? CallFault.LoseCall : CallFault.None),
    outcomes: [Stale, Stale],
    written: [false, false],
  },
  {
    name: 'the answer is lost and the outcome cannot be read',
    faults: () => CallFault.LoseAnswer,
    outcomes: [Stale, Stale],
    written: [true, true],
  },
  {
    name: 'the call is not sent',
    faults: () => CallFault.NotSent,
    outcomes: [NotWritten, NotWritten],
    written: [false, false],
  },
  {
    name: 'the holder renewed its lease during the write',
    lease: [6, 7],
    outcomes: [Committed, Committed],
    written: [true, true],
  },
  {
    name: 'another process took the lease',
    lease: [6],
    outcomes: [LeaseLost, LeaseLost],
    written: [false, false],
  },
  {
    name: 'the holder already knows that it lost the lease',
    lease: [undefined],
    outcomes: [LeaseLost, LeaseLost],
    written: [false, false],
  },
];

for (const { name, before, faults, lease = [7], outcomes, written } of cases) {
  test(`the writer reports ${outcomes.join(' and ')} when ${name}`, async (t) => {
    const clock = createVirtualClock();
    const platform = new FakePlatform(clock);
    const keys = ['job/z/a', 'job/z/b'] as const;
    for (const key of keys) setRow(platform, key, 1);
    setRow(platform, LEASE, 7);
    before?.(platform);
    const client: PlatformClient = withFaults(platform.client(), (_part, call) =>
      faults ? faults(call) : CallFault.None,
    );
    const leaseVersions = [...lease];
    const writer = new JobWriter({
      table: client.table,
      clock,
      leaseCondition: () => {
        const version = leaseVersions.length > 1 ? leaseVersions.shift() : leaseVersions[0];
        return version === undefined ? undefined : { key: LEASE, version };
      },
      maxBatch: 10,
    });
    const results = await Promise.all(
      keys.map((key) =>
        writer.write({
          key,
          version: 1,
          writes: [{ key, value: { writeId: key } }],
          readBackKey: key,
          writeId: key,
          urgent: false,
        }),
      ),
    );
    t.deepEqual(results, outcomes);
    const isWritten = keys.map((key) => {
      const value = platform.rows.get(key)?.value as { writeId?: string };
      return value.writeId === key;
    });
    t.deepEqual(isWritten, written);
  });
}

// Guards against an urgent placement that is delayed by a queue of normal writes.
test('urgent changes are written in the next transaction, before normal ones', async (t) => {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  setRow(platform, LEASE, 7);
  const { table } = platform.client();
  const leaseCondition = () => ({ key: LEASE, version: 7 });
  const writer = new JobWriter({ table, clock, leaseCondition, maxBatch: 10 });
  const order: string[] = [];
  const write = async (key: string, urgent: boolean) => {
    const writes = [{ key, value: {} }];
    await writer.write({ key, version: 0, writes, readBackKey: key, writeId: key, urgent });
    order.push(key);
  };
  const normal = idList(25);
  await Promise.all([...normal.map((key) => write(key, false)), write('urgent', true)]);
  t.is(order.indexOf('urgent'), 0);
  t.is(platform.writes, 3);
});
