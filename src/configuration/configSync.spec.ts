import test from 'ava';
import fc from 'fast-check';
import type { MemberInfo } from '../peers/index.js';
import { createRandom } from '../random/index.js';
import {
  createConfigFleet,
  type ConfigFleet,
  type ConfigFleetOptions,
  type ConfigProcess,
} from '../testing/configFleet.js';
import { createVirtualClock } from '../testing/index.js';
import { changeSetOf, sampleFleet } from '../testing/sampleFleet.js';
import {
  DisseminationMethodName,
  EntityKind,
  VmState,
  configurationDefaults,
  type ChangeSet,
} from './index.js';
import { startWorkSplitting } from './workSplitting.js';

/** Seed of the generated cases. */
const SEED = 20_261_206;

/**
 * Virtual time in milliseconds within which a committed version must be in force on every process.
 */
const CONVERGENCE_BOUND_MS = 8_000;

type StartOptions = Partial<ConfigFleetOptions>;

function memberInfo(name: string): MemberInfo {
  const zone = `z${name.charAt(0)}`;
  return { name, incarnation: name, zone, host: '', port: 0, startedAt: 0 };
}

function change(changeId: string, state = VmState.Failed): ChangeSet {
  const value = { id: 'p0-v0', state };
  return { changeId, author: 'a', changes: [{ kind: EntityKind.VmStatus, id: 'p0-v0', value }] };
}

function versions(fleet: ConfigFleet): number[] {
  return [...fleet.processes.values()].map(({ store }) => store.view.version);
}

const noLeaseHolder = () => false;

const names = ['a0', 'a1', 'a2', 'b0', 'b1', 'c0', 'c1'];

/** Members are named by zone and number; the first member of each zone holds the lease. */
async function startFleet(options: StartOptions = {}): Promise<ConfigFleet> {
  const fleet = createConfigFleet({
    delayMs: () => 1,
    seed: 1,
    heartbeatMs: 500,
    maxHeartbeats: names.length,
    platformDelayMs: 0,
    settings: {},
    isLeaseHolder: (name) => name.endsWith('0'),
    readsHeartbeatVersions: true,
    hasLivePeers: true,
    ...options,
  });
  for (const name of names) fleet.start(memberInfo(name));
  await fleet.clock.advance(1_000);
  return fleet;
}

function processNamed(fleet: ConfigFleet, name: string): ConfigProcess {
  const process = fleet.processes.get(name);
  if (!process) throw new Error(`no process ${name}`);
  return process;
}

/** Commits on one process while virtual time advances. */
async function commit(fleet: ConfigFleet, name: string, base: number, changeSet: ChangeSet) {
  await Promise.all([processNamed(fleet, name).commit(base, changeSet), fleet.clock.advance(10)]);
}

interface Scenario {
  title: string;
  run: (options: StartOptions) => Promise<unknown>;
  expected: unknown;
  /** Options that break the mechanism under test, with which the scenario must fail. */
  brokenBy: StartOptions;
}

const scenarios: Scenario[] = [
  {
    title: 'a committed version reaches every process by push',
    brokenBy: { settings: { dissemination: DisseminationMethodName.Polling } },
    run: async (options) => {
      const fleet = await startFleet(options);
      await commit(fleet, 'b1', 0, change('c1'));
      const found = versions(fleet);
      await fleet.close();
      return found;
    },
    expected: names.map(() => 1),
  },
  {
    title: 'anti-entropy recovers versions whose push was lost',
    brokenBy: { readsHeartbeatVersions: false },
    run: async (options) => {
      const fleet = await startFleet({ ...options, isLeaseHolder: noLeaseHolder });
      for (const name of names) fleet.hub.setLossy('b1', name, true);
      await commit(fleet, 'b1', 0, change('c1'));
      for (const name of names.slice(0, 2)) fleet.hub.setLossy('b1', name, false);
      await fleet.clock.advance(2_000);
      const found = versions(fleet);
      await fleet.close();
      return found;
    },
    expected: names.map(() => 1),
  },
  {
    title: 'lease holders find a version whose committing process failed before pushing it',
    brokenBy: { isLeaseHolder: noLeaseHolder },
    run: async (options) => {
      const fleet = await startFleet(options);
      fleet.hub.leave('b1');
      await commit(fleet, 'b1', 0, change('c1'));
      await fleet.clock.advance(CONVERGENCE_BOUND_MS);
      const found = versions(fleet);
      await fleet.close();
      return found;
    },
    expected: names.map(() => 1),
  },
  {
    title: 'a process that starts while the platform is down loads from a peer of its zone',
    brokenBy: { hasLivePeers: false },
    run: async (options) => {
      const fleet = await startFleet(options);
      await commit(fleet, 'a0', 0, change('c1'));
      const started = fleet.start(memberInfo('a3'), { down: true });
      const withoutZonePeers = fleet.start(memberInfo('d0'), { down: true });
      await fleet.clock.advance(5_000);
      const found = [
        started.store.isReady,
        started.store.view.version,
        withoutZonePeers.store.isReady,
      ];
      await fleet.close();
      return found;
    },
    expected: [true, 1, false],
  },
  {
    title: 'a process that lacks a large version receives a snapshot in parts',
    brokenBy: { settings: { requestTimeoutMs: 1 } },
    run: async (options) => {
      const fleet = await startFleet({ ...options, isLeaseHolder: noLeaseHolder });
      const large = sampleFleet({ zones: 3, services: 3, vmsPerPool: 1_500 });
      await commit(fleet, 'a0', 0, changeSetOf(large, 'fleet'));
      const pushed = versions(fleet);
      await fleet.clock.advance(3_000);
      const vms = [...fleet.processes.values()].map(
        ({ store }) => store.view.list(EntityKind.Vm).length,
      );
      await fleet.close();
      return [pushed, vms];
    },
    expected: [names.map((name) => (name === 'a0' ? 1 : 0)), names.map(() => 4_500)],
  },
  {
    title: 'partitioned zones catch up after the partition heals',
    brokenBy: { readsHeartbeatVersions: false, isLeaseHolder: noLeaseHolder },
    run: async (options) => {
      const fleet = await startFleet(options);
      for (const a of names) {
        for (const b of names) if (!b.startsWith(a.charAt(0))) fleet.hub.setLossy(a, b, true);
      }
      for (const name of ['b0', 'b1', 'c0', 'c1']) processNamed(fleet, name).faults.down = true;
      for (let base = 0; base < 5; base++) await commit(fleet, 'a1', base, change(`c${base}`));
      const partitioned = versions(fleet);
      for (const a of names) for (const b of names) fleet.hub.setLossy(a, b, false);
      await fleet.clock.advance(2_000);
      const healed = versions(fleet);
      await fleet.close();
      return [partitioned, healed];
    },
    expected: [
      [5, 5, 5, 0, 0, 0, 0],
      [5, 5, 5, 5, 5, 5, 5],
    ],
  },
];

// Each scenario guards against a process on which a committed version is not in force within 8 s.
for (const { title, run, expected, brokenBy } of scenarios) {
  test(`configuration sync: ${title}`, async (t) => {
    t.deepEqual(await run({}), expected);
    t.notDeepEqual(await run(brokenBy), expected);
  });
}

type StartWorkSplitting = typeof startWorkSplitting;

/** Whether every live member is informed with at most n-1 pushes, for any set of dead members. */
async function informsAllLiveMembers(start: StartWorkSplitting): Promise<boolean> {
  const deadMembers = fc.uniqueArray(fc.integer({ min: 1, max: 30 }), { maxLength: 20 });
  const property = fc.asyncProperty(deadMembers, fc.integer(), async (deadIndexes, seed) => {
    const clock = createVirtualClock();
    const deadNames = new Set(deadIndexes.map(String));
    const informed = new Set(['0']);
    let calls = 0;
    const controllers: AbortController[] = [];
    const members = [...Array(31).keys()].map(String);
    const disseminators = new Map<string, ReturnType<StartWorkSplitting>>();
    for (const name of members) {
      const controller = new AbortController();
      controllers.push(controller);
      const context = {
        peers: () => members.filter((other) => other !== name),
        push: (to: string, deltas: readonly ReturnType<typeof deltaOf>[], delegate?: string[]) => {
          calls += 1;
          if (deadNames.has(to)) return true;
          clock.setTimer(1, () => {
            const isNew = !informed.has(to);
            informed.add(to);
            disseminators
              .get(to)
              ?.onReceived({ from: name, deltas, delegate: delegate ?? [], isNew });
            disseminators.get(name)?.onAcknowledged(to, 1);
          });
          return true;
        },
        clock,
        random: createRandom(seed),
        settings: configurationDefaults,
        signal: controller.signal,
      };
      disseminators.set(name, start(context));
    }
    disseminators.get('0')?.onCommitted([deltaOf(1)]);
    await clock.advance(10_000);
    for (const controller of controllers) controller.abort();
    return informed.size === 31 - deadNames.size && calls <= 30;
  });
  return !(await fc.check(property, { seed: SEED, numRuns: 50 })).failed;
}

function deltaOf(version: number) {
  return { ...change(`c${version}`), version };
}

// Guards against members that miss a version because they were delegated to a dead member.
test(`work splitting informs every live member with at most n-1 pushes (seed ${SEED})`, async (t) => {
  t.true(await informsAllLiveMembers(startWorkSplitting));
  const neverTimesOut: StartWorkSplitting = (context) =>
    startWorkSplitting({
      ...context,
      settings: { ...configurationDefaults, ackTimeoutMs: 60_000 },
    });
  t.false(await informsAllLiveMembers(neverTimesOut));
});

/** Counts the pushes for redistributed lists when none of 63 members acknowledges in time. */
async function redistributedLists(maxPendingPushes: number): Promise<number> {
  const clock = createVirtualClock();
  const controller = new AbortController();
  const sizes: number[] = [];
  const disseminator = startWorkSplitting({
    peers: () => [...Array(63).keys()].map(String),
    push: (_name, _deltas, delegate) => sizes.push(delegate?.length ?? 0) > 0,
    clock,
    random: createRandom(1),
    settings: { ...configurationDefaults, maxPendingPushes },
    signal: controller.signal,
  });
  disseminator.onCommitted([deltaOf(1)]);
  const before = sizes.length;
  await clock.advance(configurationDefaults.ackTimeoutMs);
  controller.abort();
  // The first pushes delegate 31, 15, 7, 3, 1 and 0 names; each redistributed list is halved anew.
  return sizes.slice(before).filter((size) => [15, 7, 3, 1, 0].includes(size)).length;
}

// Guards against unbounded memory when many pushes are not acknowledged.
test('the number of pushes that await acknowledgement is bounded', async (t) => {
  const bounded = await redistributedLists(1);
  t.is(bounded, 5);
  t.true((await redistributedLists(4_096)) > bounded);
});
