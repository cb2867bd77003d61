import test from 'ava';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { claimRowKey, sweepClaims } from './index.js';

const NOW = 1_000;

async function setUp(expiries: readonly number[]) {
  const platform = new FakePlatform(createVirtualClock());
  const { table } = platform.client();
  for (const [index, expiry] of expiries.entries()) {
    const key = claimRowKey('team', `key-${index}`);
    await table.transact([], [{ key, value: { requestId: 'r', expiry } }]);
  }
  return { platform, table };
}

const cases = [
  { title: 'expired claims are deleted and the others are kept', expiries: [1, 2_000, 2], left: 1 },
  { title: 'nothing is written if no claim has expired', expiries: [2_000], left: 1 },
  { title: 'a table without claims is swept without an error', expiries: [], left: 0 },
];

// Guards against claims that accumulate, and against deleting one that still protects a request.
for (const { title, expiries, left } of cases) {
  test(title, async (t) => {
    const { platform, table } = await setUp(expiries);
    t.true((await sweepClaims(table, NOW, undefined, 100)).isOk);
    t.is(platform.rows.size, left);
  });
}

test('a claim that changed after it was read is not deleted', async (t) => {
  const { platform, table } = await setUp([1]);
  const key = claimRowKey('team', 'key-0');
  const transact = table.transact.bind(table);
  table.transact = async (conditions, writes) => {
    await transact([], [{ key, value: { requestId: 'other', expiry: 5_000 } }]);
    return transact(conditions, writes);
  };
  t.true((await sweepClaims(table, NOW, undefined, 100)).isErr);
  t.true(platform.rows.has(key));
});

test('expired claims on all pages are deleted', async (t) => {
  const { platform, table } = await setUp(Array.from({ length: 7 }, () => 1));
  let after: string | undefined;
  do {
    const swept = await sweepClaims(table, NOW, after, 3);
    after = swept.isOk ? swept.value.next : undefined;
  } while (after !== undefined);
  t.is(platform.rows.size, 0);
});
