import test from 'ava';
import { Result } from 'true-myth';
import type { FeedRow, RowStore } from './ports.js';
import { tableSource } from './tableSource.js';

function row(key: string, value: string, isRemoved = false, part = 'p'): FeedRow {
  return { table: 't', part, key, value, version: 1, isRemoved };
}

interface Case {
  title: string;
  rows: FeedRow[];
  items: string[];
  removed: string[];
}

const cases: Case[] = [
  { title: 'a changed row is an item', rows: [row('a', '1')], items: ['1'], removed: [] },
  {
    // Guards against applying a row that a later change in the same answer removes.
    title: 'a row that is written and then removed counts as removed',
    rows: [row('a', '1'), row('b', '2'), row('a', '', true)],
    items: ['2'],
    removed: ['a'],
  },
  {
    title: 'a row that is removed and then written is an item',
    rows: [row('a', '', true), row('a', '2')],
    items: ['2'],
    removed: [],
  },
  {
    title: 'a row that cannot be decoded counts as removed',
    rows: [row('a', 'bad')],
    items: [],
    removed: ['a'],
  },
  {
    title: 'a row of another part is ignored',
    rows: [row('a', '1', false, 'q')],
    items: [],
    removed: [],
  },
];

for (const { title, rows, items, removed } of cases) {
  test(`changes of a table: ${title}`, async (t) => {
    const feed: RowStore['feed'] = () => Promise.resolve(Result.ok({ rows, version: 7 }));
    const decode = ({ value }: { value: string }) => (value === 'bad' ? undefined : value);
    const source = tableSource({ feed } as RowStore, 't', 'p', decode);
    const changes = await source.changes(1, 0, new AbortController().signal);
    t.deepEqual(changes.unwrapOr(undefined), { items, removed, version: 7 });
  });
}
