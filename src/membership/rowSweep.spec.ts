import test from 'ava';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { createMemberRowSweep } from './index.js';

const STALE_MS = 600_000;

async function setUp() {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  const { table } = platform.client();
  for (const name of ['live', 'dead']) {
    await table.transact([], [{ key: `member/z/${name}`, value: {} }]);
  }
  await table.transact([], [{ key: 'member/other/dead', value: {} }]);
  const isKnown = (name: string) => name === 'live';
  const sweep = createMemberRowSweep({ table, clock, zone: 'z', staleAfterMs: STALE_MS, isKnown });
  return { clock, platform, table, sweep };
}

// Guards against rows of crashed processes, for which every drain would wait.
test('only the row of a member that has been unknown for long enough is deleted', async (t) => {
  const { clock, platform, sweep } = await setUp();
  await sweep();
  await clock.advance(STALE_MS - 1);
  await sweep();
  t.true(platform.rows.has('member/z/dead'));
  await clock.advance(1);
  await sweep();
  t.deepEqual([...platform.rows.keys()], ['member/z/live', 'member/other/dead']);
});

// Guards against deleting the row of a process that came back and registered again.
test('writing a row again restarts the time after which it is deleted', async (t) => {
  const { clock, platform, table, sweep } = await setUp();
  await sweep();
  await clock.advance(STALE_MS);
  await table.transact([], [{ key: 'member/z/dead', value: {} }]);
  await sweep();
  t.true(platform.rows.has('member/z/dead'));
});
