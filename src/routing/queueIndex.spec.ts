import test from 'ava';
import fc from 'fast-check';
import type { Queue } from '../batch/types.js';
import { QueueIndex, type QueueMatch } from './queueIndex.js';

const SEED = 4;

function queue(host: string, pathPrefix: string, name = `${host}${pathPrefix}`): Queue {
  const limits = { objectiveMs: 0, stretch: 1, priority: 0, maxAttempts: 1 };
  return { name, host, pathPrefix, service: 'motions', ...limits };
}

const queues = [
  queue('a', '/draws/'),
  queue('a', '/draws/late/'),
  queue('a', '/draws/', 'second'),
  queue('b', '/'),
];

interface Case {
  title: string;
  host: string;
  path: string;
  /** Name of the queue and rest of the path. */
  expected?: [string, string];
}

const cases: Case[] = [
  { title: 'the only prefix', host: 'a', path: '/draws/7', expected: ['a/draws/', '7'] },
  {
    title: 'the longest prefix',
    host: 'a',
    path: '/draws/late/7',
    expected: ['a/draws/late/', '7'],
  },
  { title: 'the prefix alone', host: 'a', path: '/draws/', expected: ['a/draws/', ''] },
  { title: 'part of a prefix', host: 'a', path: '/draws' },
  { title: 'a prefix of another host', host: 'b', path: '/draws/7', expected: ['b/', 'draws/7'] },
  { title: 'an unknown host', host: 'c', path: '/draws/7' },
];

for (const { title, host, path, expected } of cases) {
  test(title, (t) => {
    const match = new QueueIndex(queues).match(host, path);
    t.deepEqual(match && [match.queue.name, match.rest], expected);
  });
}

function scan(all: readonly Queue[], host: string, path: string): QueueMatch | undefined {
  let best: Queue | undefined;
  for (const candidate of all) {
    if (candidate.host !== host || !path.startsWith(candidate.pathPrefix)) continue;
    if (!best || candidate.pathPrefix.length > best.pathPrefix.length) best = candidate;
  }
  return best && { queue: best, rest: path.slice(best.pathPrefix.length) };
}

// Guards against a queue that the index misses although a scan of all queues finds it.
test('the index finds what a scan of all queues finds', (t) => {
  const host = fc.constantFrom('a', 'b');
  const path = fc.string({ unit: fc.constantFrom('/', 'x', 'y'), maxLength: 6 });
  const property = fc.property(fc.array(fc.tuple(host, path)), host, path, (all, h, p) => {
    const random = all.map(([name, prefix], index) => queue(name, prefix, String(index)));
    t.deepEqual(new QueueIndex(random).match(h, p), scan(random, h, p));
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});
