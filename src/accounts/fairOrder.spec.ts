import test from 'ava';
import fc from 'fast-check';
import { fairOrder } from './fairOrder.js';

interface Item {
  account?: string;
  rank: number;
  key: number;
}

const compare = (a: Item, b: Item) => a.key - b.key;
const sort = (items: Item[]) => [...items].sort((a, b) => a.rank - b.rank || compare(a, b));

/** Orders items, each of which is served with one unit if `isServed` holds. */
function order(
  items: readonly Item[],
  weights: Record<string, number> = {},
  isServed: (item: Item) => boolean = () => true,
): Item[] {
  const served = new Map<string, number>();
  const result: Item[] = [];
  const ordered = fairOrder(items, {
    accountOf: ({ account }) => account,
    isSameRank: (a, b) => a.rank === b.rank,
    compare,
    servedPerWeight: (account) => (served.get(account) ?? 0) / (weights[account] ?? 1),
    hasMore: () => false,
  });
  for (const item of ordered) {
    result.push(item);
    if (item.account !== undefined && isServed(item))
      served.set(item.account, (served.get(item.account) ?? 0) + 1);
  }
  return result;
}

const text = (items: readonly Item[]) =>
  items.map(({ account = '-', key }) => `${account}${key}`).join(' ');

const item = (account: string | undefined, key: number, rank = 0): Item => ({ account, key, rank });
const many = (account: string, count: number, rank = 0) =>
  Array.from({ length: count }, (_, index) => item(account, index, rank));

interface Case {
  title: string;
  items: Item[];
  weights?: Record<string, number>;
  isServed?: (item: Item) => boolean;
  expected: string;
}

const cases: Case[] = [
  {
    title: 'accounts of equal weight take turns',
    items: [...many('a', 3), ...many('b', 3)],
    expected: 'a0 b0 a1 b1 a2 b2',
  },
  {
    title: 'an account of weight 3 gets three turns for one of weight 1',
    items: [...many('a', 2), ...many('b', 4)],
    weights: { b: 3 },
    expected: 'a0 b0 b1 b2 a1 b3',
  },
  {
    title: 'what cannot be served costs its account nothing',
    items: [...many('a', 4), ...many('b', 2)],
    isServed: ({ account, key }) => account !== 'a' || key > 1,
    expected: 'a0 b0 a1 a2 b1 a3',
  },
  {
    title: 'a turn in an earlier rank counts in later ones',
    items: [...many('a', 2, 0), ...many('a', 1, 1), ...many('b', 2, 1)],
    expected: 'a0 a1 b0 b1 a0',
  },
  {
    title: 'an item of no account keeps its place by the key',
    items: [item('a', 0), item('a', 5), item('b', 2), item(undefined, 1), item(undefined, 9)],
    expected: 'a0 -1 b2 a5 -9',
  },
];

for (const { title, items, weights, isServed, expected } of cases) {
  test(title, (t) => {
    t.is(text(order(sort(items), weights, isServed)), expected);
  });
}

const itemArbitrary = fc.record(
  { account: fc.constantFrom('a', 'b', 'c', 'd'), rank: fc.nat(3), key: fc.nat(20) },
  { requiredKeys: ['rank', 'key'] },
);

// Guards against items that are lost, repeated, moved to another rank or reordered in their account.
test('each rank and each account keeps its items in order', (t) => {
  fc.assert(
    fc.property(fc.array(itemArbitrary, { maxLength: 60 }), (items) => {
      const sorted = sort(items);
      const ordered = order(sorted, { a: 5, b: 2 });
      const withoutAccount = (list: Item[], account?: string) =>
        list.filter((entry) => entry.account === account);
      t.deepEqual(
        ordered.map(({ rank }) => rank),
        sorted.map(({ rank }) => rank),
      );
      for (const account of ['a', 'b', 'c', 'd', undefined])
        t.deepEqual(withoutAccount(ordered, account), withoutAccount(sorted, account));
    }),
    { seed: 20_251, numRuns: 300 },
  );
});
