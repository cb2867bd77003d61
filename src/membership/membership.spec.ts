import test from 'ava';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import type { MemberInfo } from '../peers/index.js';
import { createRandom } from '../random/index.js';
import { FakePeerHub, FakePlatform, createVirtualClock } from '../testing/index.js';
import { createMemberFleet, type MemberFleet } from '../testing/memberFleet.js';
import {
  MAX_RETIRED,
  MemberState,
  MemberTable,
  createMembership,
  memberKey,
  membershipSchema,
  registerMember,
  rendezvousOwner,
  type MembershipSettings,
} from './index.js';

const settings = membershipSchema.parse({});

function info(name: string, incarnation = name, port = 0): MemberInfo {
  return { name, incarnation, zone: `z${name.charAt(0)}`, host: '10.0.0.1', port, startedAt: 0 };
}

/** Members named by zone and number: a0, a1 and a2 in zone za; b0, b1 and b2 in zone zb. */
const names = ['a0', 'a1', 'a2', 'b0', 'b1', 'b2'];

/** Starts or stops dropping messages from some members to others. */
function setLossyBetween(fleet: MemberFleet, from: string[], to: string[], isLossy: boolean): void {
  for (const a of from) for (const b of to) if (a !== b) fleet.hub.setLossy(a, b, isLossy);
}

/** State of a member as observed by another one, or `gone` if it is not known. */
function stateSeenBy(fleet: MemberFleet, observer: string, subject: string): string {
  return fleet.node(observer).membership.member(subject)?.state ?? 'gone';
}

function statesSeenBy(fleet: MemberFleet, pairs: [string, string][]): string[] {
  return pairs.map(([observer, subject]) => stateSeenBy(fleet, observer, subject));
}

/** Whether every member observes all others as Alive. */
function isConverged(fleet: MemberFleet): boolean {
  return names.every((observer) =>
    names.every(
      (subject) => observer === subject || stateSeenBy(fleet, observer, subject) === 'alive',
    ),
  );
}

interface Scenario {
  title: string;
  run: (fleet: MemberFleet) => Promise<unknown>;
  expected: unknown;
  /** Settings that must make the scenario fail; proves that it can detect a fault. */
  breakingSettings: Partial<MembershipSettings>;
  /** Fault that must make the scenario fail, for scenarios that no setting breaks. */
  injectFault?: (fleet: MemberFleet) => void;
}

const zoneA = ['a0', 'a1', 'a2'];
const zoneB = ['b0', 'b1', 'b2'];

const scenarios: Scenario[] = [
  {
    title: 'a silent member becomes Suspect after 3 s and is removed after 10 s',
    breakingSettings: { suspectAfterMs: 9_000 },
    run: async (fleet) => {
      setLossyBetween(fleet, ['a1'], names, true);
      const states: string[] = [];
      for (const ms of [2_000, 2_000, 4_500, 2_500]) {
        await fleet.clock.advance(ms);
        states.push(stateSeenBy(fleet, 'a0', 'a1'));
      }
      return states;
    },
    expected: ['alive', 'suspect', 'suspect', 'gone'],
  },
  {
    title:
      'when messages are lost in one direction, both sides suspect each other and no other member',
    breakingSettings: { suspectAfterMs: 60_000 },
    run: async (fleet) => {
      setLossyBetween(fleet, ['a0'], ['b0'], true);
      await fleet.clock.advance(5_000);
      return statesSeenBy(fleet, [
        ['a0', 'b0'],
        ['b0', 'a0'],
        ['a0', 'b1'],
        ['b1', 'a0'],
      ]);
    },
    expected: ['suspect', 'suspect', 'alive', 'alive'],
  },
  {
    title: 'a paused member suspects no other member when it resumes, and becomes Alive again',
    breakingSettings: { pauseThresholdMs: 60_000 },
    run: async (fleet) => {
      fleet.node('a0').pause();
      await fleet.clock.advance(6_000);
      const whilePaused = stateSeenBy(fleet, 'a1', 'a0');
      const before = fleet.node('a0').liveMemberCounts.length;
      fleet.node('a0').resume();
      const liveAtOnce = fleet.node('a0').membership.liveMembers('za').length;
      await fleet.clock.advance(2_000);
      return [
        whilePaused,
        liveAtOnce,
        fleet.node('a0').liveMemberCounts.length - before,
        isConverged(fleet),
      ];
    },
    expected: ['suspect', 3, 0, true],
  },
  {
    title: 'a member that resumes after more than the removal time removes no other member',
    breakingSettings: { pauseThresholdMs: 60_000 },
    run: async (fleet) => {
      fleet.node('a0').pause();
      await fleet.clock.advance(15_000);
      const whilePaused = stateSeenBy(fleet, 'a1', 'a0');
      const before = fleet.node('a0').liveMemberCounts.length;
      fleet.node('a0').resume();
      await fleet.clock.advance(2_000);
      return [whilePaused, fleet.node('a0').liveMemberCounts.length - before, isConverged(fleet)];
    },
    expected: ['gone', 0, true],
  },
  {
    title: 'a partition between zones splits the members, which rejoin when it ends',
    breakingSettings: { removeAfterMs: 120_000 },
    run: async (fleet) => {
      setLossyBetween(fleet, zoneA, zoneB, true);
      setLossyBetween(fleet, zoneB, zoneA, true);
      await fleet.clock.advance(60_000);
      const split = statesSeenBy(fleet, [
        ['a0', 'b0'],
        ['b0', 'a0'],
        ['a0', 'a1'],
        ['b0', 'b1'],
      ]);
      setLossyBetween(fleet, zoneA, zoneB, false);
      setLossyBetween(fleet, zoneB, zoneA, false);
      await fleet.clock.advance(3_000);
      return [split, isConverged(fleet)];
    },
    expected: [['gone', 'gone', 'alive', 'alive'], true],
  },
  {
    title: 'a member that leaves is removed at once and does not return',
    breakingSettings: {},
    injectFault: (fleet) => {
      setLossyBetween(fleet, ['a1'], names, true);
    },
    run: async (fleet) => {
      await Promise.all([fleet.node('a1').membership.leave(), fleet.clock.advance(10)]);
      const atOnce = stateSeenBy(fleet, 'b2', 'a1');
      await fleet.clock.advance(2_000);
      const owners = [...Array(50).keys()].map((vm) =>
        fleet.node('a0').membership.ownerOf('za', `vm${vm}`),
      );
      const row = fleet.platform.rows.has(memberKey(info('a1')));
      return [atOnce, stateSeenBy(fleet, 'b2', 'a1'), owners.includes('a1'), row];
    },
    expected: ['gone', 'gone', false, false],
  },
];

async function startFleet(overrides: Partial<MembershipSettings> = {}): Promise<MemberFleet> {
  const fleet = createMemberFleet();
  for (const name of names) fleet.join(info(name), overrides);
  await fleet.clock.advance(3_000);
  return fleet;
}

async function stopAll(fleet: MemberFleet): Promise<void> {
  await Promise.all([...fleet.nodes.values()].map(({ stop }) => stop()));
}

// Each scenario guards against executor owners and forwarding targets that stay wrong for longer
// than its title states.
for (const { title, run, expected, breakingSettings, injectFault } of scenarios) {
  test(`membership: ${title}`, async (t) => {
    const fleet = await startFleet();
    t.true(isConverged(fleet));
    t.deepEqual(await run(fleet), expected);
    await stopAll(fleet);
    const broken = await startFleet(breakingSettings);
    injectFault?.(broken);
    t.notDeepEqual(await run(broken), expected);
    await stopAll(broken);
  });
}

// Guards against work and request ids addressed to a process that no longer exists.
test('a new incarnation, or another name at the same address, replaces a member', async (t) => {
  const fleet = createMemberFleet();
  const observer = fleet.join(info('a0'));
  const former = fleet.join(info('a1', 'old', 7400));
  await fleet.clock.advance(1_500);
  await former.stop();
  fleet.join(info('a1', 'new', 7400));
  await fleet.clock.advance(1_500);
  t.is(observer.membership.member('a1')?.info.incarnation, 'new');
  t.deepEqual(
    observer.membership.liveMembers('za').map(({ incarnation }) => incarnation),
    ['a0', 'new'],
  );
  // Another member at the same address means that the former one no longer listens there.
  await fleet.node('a1').stop();
  fleet.join(info('a9', 'other', 7400));
  await fleet.clock.advance(10);
  t.is(observer.membership.member('a1'), undefined);
  t.is(observer.membership.member('a9')?.state, MemberState.Alive);
  await stopAll(fleet);
});

// Guards against the zone controller taking a drain as confirmed while a request is in flight.
test('heartbeats carry version and load, and draining VMs within the zone only', async (t) => {
  const fleet = await startFleet();
  const { membership } = fleet.node('a0');
  for (const name of ['a1', 'b0']) {
    const member = membership.member(name);
    t.is(member?.configVersion, 7);
    t.deepEqual(member?.load, [{ service: 's', slots: 8, freeSlots: 3, queued: 1 }]);
  }
  t.deepEqual(membership.member('a1')?.draining, [{ vm: 'v', inFlight: 2 }]);
  t.deepEqual(membership.member('b0')?.draining, []);
  await stopAll(fleet);
});

// Guards against leaving VMs that the zone does not learn of, and against sending them where they
// are not needed.
test('heartbeats carry leaving VMs to members of the same zone only', async (t) => {
  const fleet = await startFleet();
  const heard = new Map<string, readonly string[] | undefined>();
  fleet.node('a0').membership.onHeartbeat(({ info: { name } }, { leaving }) => {
    heard.set(name, leaving);
  });
  await fleet.clock.advance(2_000);
  t.deepEqual(heard.get('a1'), ['w']);
  t.true(heard.has('b0'));
  t.is(heard.get('b0'), undefined);
  await stopAll(fleet);
});

// Guards against a process that stays isolated because no seed answers.
test('member rows are read while no link is up', async (t) => {
  const clock = createVirtualClock();
  const { table } = new FakePlatform(clock).client();
  await registerMember(table, info('b0'));
  const added: string[] = [];
  const hub = new FakePeerHub(clock, () => 1);
  const network = {
    ...hub.join(info('a0')),
    addMember: ({ name }: MemberInfo) => added.push(name),
  };
  const membership = createMembership({
    network: { ...network, addMember: (member) => void network.addMember(member) },
    settings,
    heartbeat: { configVersion: () => 0, load: () => [], draining: () => [] },
    table,
    clock,
    random: createRandom(1),
    events: createEventBus(),
    logger: silentLogger,
    metrics: new Metrics(),
  });
  const lifecycle = new Lifecycle('a0');
  const task = membership.run(lifecycle);
  await clock.advance(3_000);
  t.deepEqual(added, ['b0']);
  t.truthy((await table.get(memberKey(info('a0')))).unwrapOr(undefined));
  await lifecycle.close();
  await task;
});

/** Share of keys whose owner changes when one of seven names is removed. */
function movedShare(owner: typeof rendezvousOwner): number {
  const all = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((name) => `entry-${name}`);
  const keys = [...Array(2_000).keys()].map((index) => `vm-${index}`);
  const moved = keys.filter((key) => owner(all, key) !== owner(all.slice(1), key));
  return moved.length / keys.length;
}

// Guards against membership changes that move all executors, whose slots may then be exceeded.
test('removing a member moves only the executors that it owned', (t) => {
  const isMinimal = (share: number) => share > 0.1 && share < 0.19;
  t.true(isMinimal(movedShare(rendezvousOwner)));
  const moduloOwner: typeof rendezvousOwner = (all, key) => all[Number(key.slice(3)) % all.length];
  t.false(isMinimal(movedShare(moduloOwner)));
  t.is(rendezvousOwner([], 'vm'), undefined);
});

// Guards against unbounded memory when many members come and go.
test('the numbers of members and of retired incarnations are bounded', (t) => {
  const table = new MemberTable(3);
  const accepted = ['a', 'b', 'c', 'd'].map(
    (name) => table.recordContact(info(name), 0) !== undefined,
  );
  t.deepEqual(accepted, [true, true, true, false]);
  t.false(table.addCandidate(info('e'), 0));
  for (let index = 0; index <= MAX_RETIRED; index++) {
    table.retire('a');
    table.recordContact(info('a', `incarnation-${index}`), 0);
  }
  t.false(table.isRetired('a'));
  t.true(table.isRetired('incarnation-0'));
});
