import test from 'ava';
import { createEventBus, EventName } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import type { Condition, PlatformClient } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { CallFault, interceptPlatform, type PlatformCall } from '../testing/interceptedPlatform.js';
import { controllerDefaults } from './defaults.js';
import { leaseKey, runZoneLease } from './lease.js';
import { createControllerMetrics } from './metrics.js';
import type { HeldLease, LeaseRow } from './types.js';

const TTL_MS = controllerDefaults.leaseTtlMs;
const SEED = 11;
const LEASE_KEY = leaseKey('z1');

type FaultOf = (call: PlatformCall) => CallFault;

function setUp() {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  const row = () => platform.rows.get(LEASE_KEY)?.value as LeaseRow | undefined;

  function start(holder: string, faultOf: FaultOf = () => CallFault.None, pauseMs = 2 * TTL_MS) {
    const client: PlatformClient = interceptPlatform(platform.client(), {
      clock,
      pauseMs,
      faultOf,
    });
    const lifecycle = new Lifecycle(holder);
    const events = createEventBus();
    const terms: HeldLease[] = [];
    const changes: boolean[] = [];
    events.on(EventName.LeaseChanged, ({ held }) => void changes.push(held));
    const task = runZoneLease(
      {
        zone: 'z1',
        holder,
        table: client.table,
        clock,
        random: createRandom(SEED),
        logger: silentLogger,
        events,
        settings: controllerDefaults,
        metrics: createControllerMetrics(new Metrics()),
        whileHeld: (lease, term) => {
          terms.push(lease);
          return new Promise((resolve) => {
            term.signal.addEventListener('abort', () => {
              resolve();
            });
          });
        },
      },
      lifecycle,
    );
    lifecycle.own('task', () => task);
    const isHolder = () => terms.at(-1)?.isHeld ?? false;
    return { client, lifecycle, terms, changes, isHolder };
  }
  return { clock, platform, row, start };
}

test('a process keeps the lease while it renews, and no other process acquires it', async (t) => {
  const { clock, row, start } = setUp();
  const first = start('a');
  await clock.advance(100);
  const second = start('b');
  await clock.advance(20 * TTL_MS);
  t.true(first.isHolder());
  t.is(second.terms.length, 0);
  t.is(row()?.epoch, 1);
  t.true((row()?.renewals ?? 0) >= 55);
  await Promise.all([second.lifecycle.close(), first.lifecycle.close()]);
});

test('a released lease is acquired at the next reading, with a larger epoch', async (t) => {
  const { clock, row, start } = setUp();
  const first = start('a');
  await clock.advance(100);
  const second = start('b');
  await clock.advance(TTL_MS);
  await first.lifecycle.close();
  t.is(row()?.holder, '');
  t.false(first.isHolder());
  await clock.advance(TTL_MS / 2);
  t.true(second.isHolder());
  t.is(row()?.epoch, 2);
  t.deepEqual(first.changes, [true, false]);
  await second.lifecycle.close();
});

// If the lease were acquired too early, two controllers would act at the same time.
test('after a crash the lease is acquired when no renewal was seen for the lease duration', async (t) => {
  const { clock, start } = setUp();
  let hasCrashed = false;
  start('a', () => (hasCrashed ? CallFault.CrashBefore : CallFault.None));
  await clock.advance(100);
  const second = start('b');
  await clock.advance(2 * TTL_MS);
  hasCrashed = true;
  await clock.advance(TTL_MS / 2);
  t.false(second.isHolder());
  await clock.advance(1.5 * TTL_MS);
  t.true(second.isHolder());
  await second.lifecycle.close();
});

test('renewals and writes do not invalidate each other', async (t) => {
  const { clock, platform, start } = setUp();
  const first = start('a', undefined);
  await clock.advance(100);
  let failures = 0;
  let writes = 0;
  const lease = first.terms[0];
  if (!lease) return t.fail('no lease');
  const writer = async () => {
    while (lease.isHeld) {
      const written = await lease.write(async (condition) => {
        await clock.sleep(7);
        return first.client.table.transact([condition], [{ key: 'w', value: writes }]);
      });
      writes += 1;
      if (written.isOk && written.value.isErr) failures += 1;
    }
  };
  const writers = [writer(), writer(), writer()];
  await clock.advance(10 * TTL_MS);
  t.true(first.isHolder());
  t.true(writes > 1_000);
  t.is(failures, 0);
  t.is(
    platform.rows.get(LEASE_KEY)?.version,
    (platform.rows.get(LEASE_KEY)?.value as LeaseRow).renewals + 1,
  );
  const closing = first.lifecycle.close();
  await clock.advance(100);
  await Promise.all([closing, ...writers]);
});

for (const fault of [CallFault.LoseAnswer, CallFault.Down]) {
  test(`the lease is acquired and kept when every third call has the fault ${fault}`, async (t) => {
    const { clock, row, start } = setUp();
    const first = start('a', ({ index }) => (index % 3 === 0 ? fault : CallFault.None));
    await clock.advance(10 * TTL_MS);
    t.true(first.isHolder());
    t.is(first.terms.length, 1);
    t.is(row()?.holder, 'a');
    await first.lifecycle.close();
  });
}

test('the lease expires during a platform outage and is acquired afterwards', async (t) => {
  const { clock, start } = setUp();
  let isDown = false;
  const faultOf = () => (isDown ? CallFault.Down : CallFault.None);
  const processes = [start('a', faultOf), start('b', faultOf)];
  await clock.advance(TTL_MS);
  isDown = true;
  await clock.advance(3 * TTL_MS);
  t.deepEqual(
    processes.map(({ isHolder }) => isHolder()),
    [false, false],
  );
  isDown = false;
  await clock.advance(3 * TTL_MS);
  t.is(processes.filter(({ isHolder }) => isHolder()).length, 1);
  await Promise.all(processes.map(({ lifecycle }) => lifecycle.close()));
});

// The faulty variant omits the row condition, like a controller without an epoch check.
test('a holder paused past its lease cannot write, but can without the condition', async (t) => {
  const withoutCondition = (_: Condition): Condition[] => [];
  const withCondition = (condition: Condition): Condition[] => [condition];
  for (const [conditions, isWritten] of [
    [withCondition, false],
    [withoutCondition, true],
  ] as const) {
    const { clock, platform, start } = setUp();
    const first = start('a');
    await clock.advance(100);
    const write = first.terms[0]?.write(async (condition) => {
      await clock.sleep(3 * TTL_MS);
      return platform.client().table.transact(conditions(condition), [{ key: 'late', value: 1 }]);
    });
    first.client.table.transact = () => new Promise(() => undefined);
    const second = start('b');
    await clock.advance(4 * TTL_MS);
    const written = await write;
    t.deepEqual([first.isHolder(), second.isHolder()], [false, true]);
    t.is(written?.isOk && written.value.isOk, isWritten);
    t.is(platform.rows.has('late'), isWritten);
    // The renewal of the first process hangs; a write must not wait for it.
    t.true((await first.terms[0]?.write(() => Promise.resolve()))?.isErr);
    await second.lifecycle.close();
  }
});
