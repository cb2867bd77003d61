import test from 'ava';
import { FairBacklog } from './fairBacklog.js';

interface Case {
  title: string;
  /** Items as `account:number`, with `-` for no account. */
  pushed: string[];
  weights?: Record<string, number>;
  expected: string[];
}

const burst = (account: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${account}:${index}`);

const cases: Case[] = [
  {
    title: 'without accounts, first in, first out',
    pushed: burst('-', 4),
    expected: burst('-', 4),
  },
  {
    title: 'an account does not wait behind the burst of another',
    pushed: [...burst('a', 4), 'b:0'],
    expected: ['a:0', 'b:0', 'a:1', 'a:2', 'a:3'],
  },
  {
    title: 'accounts are served by weight',
    pushed: [...burst('a', 3), ...burst('b', 5)],
    weights: { b: 2 },
    expected: ['a:0', 'b:0', 'b:1', 'a:1', 'b:2', 'b:3', 'a:2', 'b:4'],
  },
  {
    title: 'entries of no account do not wait behind accounts',
    pushed: [...burst('a', 3), '-:0', '-:1'],
    expected: ['a:0', '-:0', '-:1', 'a:1', 'a:2'],
  },
];

for (const { title, pushed, weights, expected } of cases) {
  test(title, (t) => {
    const backlog = new FairBacklog<string>();
    for (const item of pushed) {
      const name = item.split(':')[0] ?? '';
      backlog.push(item, name === '-' ? undefined : { name, weight: weights?.[name] ?? 1 });
    }
    t.is(backlog.length, pushed.length);
    const served: string[] = [];
    for (let item = backlog.shift(); item !== undefined; item = backlog.shift()) served.push(item);
    t.deepEqual(served, expected);
  });
}
