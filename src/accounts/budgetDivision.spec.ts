import test from 'ava';
import fc from 'fast-check';
import type { Resources } from '../batch/types.js';
import { capOf, divide, maxMinShare, usableGrant, type DivisionInput } from './budgetDivision.js';
import { NO_RESOURCES, isWithin, plus, sumOf } from './resourceMath.js';
import { startableDemand } from './startableDemand.js';

const cpu = (cpuMillis: number): Resources => ({ ...NO_RESOURCES, cpuMillis });
const share = (granted: number, wanted = 0) => ({ granted: cpu(granted), wanted: cpu(wanted) });
const tasks = (count: number, needs = 1_000, isGang = false) => ({
  needs: cpu(needs),
  count,
  isGang,
});

const initial: DivisionInput = {
  cap: capOf(cpu(10_000), 0),
  others: [],
  granted: cpu(0),
  used: cpu(0),
  demand: [],
  hasOverrun: false,
  mayRaise: true,
  isSurplusOld: false,
};

interface Case {
  title: string;
  input: Partial<DivisionInput>;
  granted: number;
  wanted?: number;
  hasOverrun?: boolean;
  fairShare?: number;
}

const cases: Case[] = [
  // Guards against rows of accounts that nobody uses.
  { title: 'without demand nothing is granted', input: {}, granted: 0 },
  // Guards against one write per start.
  {
    title: 'a raise covers the demand and a part of what is free',
    input: { demand: [tasks(2)] },
    granted: 3_000,
  },
  // Guards against an account that runs more than its limit.
  {
    title: 'a raise stays within what the others leave, and exceeds it by one task',
    input: { others: [share(7_500)], demand: [tasks(5)] },
    granted: 3_000,
    wanted: 2_000,
    hasOverrun: true,
  },
  // Guards against a task that never runs because it is larger than the limit.
  {
    title: 'a task larger than the limit is granted while less than the limit is',
    input: { others: [share(9_000)], demand: [tasks(1, 30_000)] },
    granted: 30_000,
    hasOverrun: true,
  },
  // Guards against two tasks beyond the limit.
  {
    title: 'no task is granted while the limit is reached',
    input: { others: [share(10_000)], demand: [tasks(1)] },
    granted: 0,
    wanted: 1_000,
  },
  {
    title: 'nothing is raised while shares are missing',
    input: { mayRaise: false, demand: [tasks(1)] },
    granted: 0,
    wanted: 1_000,
  },
  // Guards against grants that another service waits for.
  {
    title: 'what is unused is returned to a service that wants it',
    input: { granted: cpu(9_000), used: cpu(2_000), others: [share(1_000, 4_000)] },
    granted: 2_000,
  },
  // Guards against a write for each change of the load.
  {
    title: 'what is unused is kept while the others can raise',
    input: { granted: cpu(4_000), used: cpu(2_000), others: [share(1_000, 4_000)] },
    granted: 4_000,
  },
  // Guards against a dead holder that keeps most of the limit.
  {
    title: 'an old surplus is returned',
    input: { granted: cpu(9_000), used: cpu(0), isSurplusOld: true },
    granted: 0,
  },
  // Guards against a service that takes all of the limit as its runs end and start again.
  {
    title: 'a holder above its share returns what it does not use although tasks wait',
    input: {
      granted: cpu(8_000),
      used: cpu(7_000),
      others: [share(2_000, 6_000)],
      demand: [tasks(4)],
    },
    granted: 7_000,
    wanted: 4_000,
    fairShare: 5_000,
  },
  {
    title: 'a holder below its share keeps what its waiting tasks can use',
    input: {
      granted: cpu(4_000),
      used: cpu(2_000),
      others: [share(6_000, 1_000)],
      demand: [tasks(4)],
    },
    granted: 4_000,
    wanted: 2_000,
  },
  // Guards against a lowered limit that is never reached.
  {
    title: 'above a lowered limit the grant shrinks to what runs, at least in proportion',
    input: { granted: cpu(12_000), used: cpu(3_000), others: [share(8_000)], demand: [tasks(4)] },
    granted: 6_000,
    wanted: 1_000,
  },
  {
    title: 'a gang is granted as a whole or not at all',
    input: { others: [share(8_000)], demand: [tasks(4, 1_000, true)] },
    granted: 0,
    wanted: 4_000,
  },
  // Guards against services that hold back for a gang that can never start.
  {
    title: 'a gang larger than the limit is not wanted',
    input: { demand: [tasks(12, 1_000, true)] },
    granted: 0,
  },
];

for (const { title, input, granted, wanted = 0, hasOverrun = false, fairShare } of cases) {
  test(title, (t) => {
    const division = divide({ ...initial, ...input });
    t.is(division.granted.cpuMillis, granted);
    t.is(division.wanted.cpuMillis, wanted);
    t.is(division.hasOverrun, hasOverrun);
    if (fairShare !== undefined) t.is(division.fairShare.cpuMillis, fairShare);
  });
}

const shares: [total: number, demands: number[], share: number][] = [
  [10, [3, 4], Infinity],
  [10, [2, 20, 20], 4],
  [9, [5, 5, 5], 3],
];
for (const [total, demands, expected] of shares) {
  test(`max-min share of ${total} among ${demands.join(', ')}`, (t) => {
    t.is(maxMinShare(total, demands), expected);
  });
}

test('above the limit each grant is usable in proportion', (t) => {
  const usable = usableGrant(cpu(6_000), cpu(12_000), capOf(cpu(8_000), 0));
  t.is(usable.cpuMillis, 4_000);
});

test('only tasks for which capacity is free are demanded', (t) => {
  const held = (count: number, canStart: boolean, isGang = false) => ({
    account: 'a',
    needs: cpu(1_000),
    count,
    isGang,
    fillsSpare: false,
    canStart: () => canStart,
  });
  const list = [held(2, true), held(3, false), held(9, true, true), held(9, true)];
  const demand = startableDemand(list, cpu(5_500)).get('a');
  t.deepEqual(
    demand?.map(({ count }) => count),
    [2, 3],
  );
});

const amountArbitrary = fc.record({
  cpuMillis: fc.nat(9).map((units) => units * 500),
  memoryMb: fc.nat(9).map((units) => units * 100),
  accelerators: fc.nat(2),
});
const inputArbitrary: fc.Arbitrary<DivisionInput> = fc.record({
  cap: amountArbitrary.map((limit) => capOf(limit, 0)),
  others: fc.array(fc.record({ granted: amountArbitrary, wanted: amountArbitrary }), {
    maxLength: 3,
  }),
  granted: amountArbitrary,
  used: fc.constant(NO_RESOURCES),
  demand: fc.array(
    fc.record({
      needs: amountArbitrary,
      count: fc.integer({ min: 1, max: 6 }),
      isGang: fc.boolean(),
    }),
    { maxLength: 3 },
  ),
  hasOverrun: fc.boolean(),
  mayRaise: fc.boolean(),
  isSurplusOld: fc.boolean(),
});

// Guards against a raise beyond the limit for some combination of resources and other shares.
test('no raise lets the sum of grants exceed the limit by more than one task', (t) => {
  const property = fc.property(
    inputArbitrary,
    fc.double({ min: 0, max: 1, noNaN: true }),
    (input, part) => {
      const used = {
        cpuMillis: Math.floor(input.granted.cpuMillis * part),
        memoryMb: Math.floor(input.granted.memoryMb * part),
        accelerators: Math.floor(input.granted.accelerators * part),
      };
      const { granted, wanted } = divide({ ...input, used });
      const others = sumOf(input.others.map((each) => each.granted));
      if (!isWithin(used, granted)) return false;
      if (!isWithin(NO_RESOURCES, wanted)) return false;
      if (isWithin(granted, input.granted)) return true;
      if (!input.mayRaise || !isWithin(plus(others, input.granted), input.cap)) return false;
      const sum = plus(others, granted);
      return (
        isWithin(sum, input.cap) ||
        input.demand.some(({ needs }) => isWithin(sum, plus(input.cap, needs)))
      );
    },
  );
  fc.assert(property, { seed: 20261204, numRuns: 3_000 });
  t.pass();
});
