import test from 'ava';
import { nodeWeight, rankForService, type Candidate } from './nodeWeight.js';

const small = nodeWeight({ cores: 0.324, bandwidthMbps: 10 });
const large = nodeWeight({ cores: 1.35, bandwidthMbps: 200 });

interface RankCase {
  title: string;
  candidates: Record<string, [weight: number, held: number]>;
  /** Order in which the nodes claim a service. */
  order: string[];
}

const cases: RankCase[] = [
  {
    // Guards against holders on small VMs that saturate their link while larger VMs hold nothing.
    title: 'a large VM with services ranks before a small VM without any',
    candidates: { small: [small, 0], large: [large, 2] },
    order: ['large', 'small'],
  },
  {
    title: 'equal VMs rank by the number of services that they hold',
    candidates: { a: [1, 2], b: [1, 0], c: [1, 1] },
    order: ['b', 'c', 'a'],
  },
  {
    title: 'a small VM ranks first once the large VM holds its share by weight',
    candidates: { small: [1, 0], large: [4, 4] },
    order: ['small', 'large'],
  },
];

for (const { title, candidates, order } of cases) {
  test(`claim order: ${title}`, (t) => {
    const list = Object.entries(candidates).map(([node, [weight, held]]): Candidate => ({
      node,
      weight,
      held,
    }));
    const ranks = order.map((node) => rankForService(node, 'motions', list));
    t.deepEqual(ranks, [...order.keys()]);
  });
}

test('nodes of the same load have distinct ranks, independent of their order in the list', (t) => {
  const list = ['a', 'b', 'c', 'd'].map((node): Candidate => ({ node, weight: 1, held: 1 }));
  const ranks = (candidates: Candidate[]) =>
    list.map(({ node }) => rankForService(node, 'motions', candidates));
  t.deepEqual([...ranks(list)].sort(), [0, 1, 2, 3]);
  t.deepEqual(ranks([...list].reverse()), ranks(list));
});

test('the weight of a VM is limited by its scarcest resource', (t) => {
  t.true(small < 1, `${small}`);
  t.true(large > 4, `${large}`);
  t.is(
    nodeWeight({ cores: 1.35, bandwidthMbps: 10 }),
    nodeWeight({ cores: 0.4, bandwidthMbps: 10 }),
  );
});
