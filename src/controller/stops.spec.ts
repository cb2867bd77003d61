import test from 'ava';
import {
  EntityKind,
  StopState,
  VmState,
  type ConfigHistory,
  type EntityChange,
} from '../configuration/index.js';
import { ListedVmState } from '../platform/index.js';
import { ControllerRig, findViolations, fleetOf, memberOf } from '../testing/controllerRig.js';
import { CallFault, type PlatformCall } from '../testing/interceptedPlatform.js';
import { ProbeResult } from './index.js';

const VM = 'z0r0v0';
const MINUTE_MS = 60_000;

/** Indexes of the platform calls at which faults are injected. */
const steps = Array.from({ length: 60 }, (_, index) => index);

const grant = (id: string): EntityChange => {
  return { kind: EntityKind.Stop, id, value: { id, wave: 'w', state: StopState.Granted } };
};

async function setUp() {
  const rig = new ControllerRig();
  const pools = [{ minAvailable: 2, maxAway: 2 }];
  await rig.load(fleetOf({ zones: 1, racksPerZone: 2, vmsPerRack: 2, pools }));
  return rig;
}

const isGone = (vm: string) => (view: { get: (kind: EntityKind.Stop, id: string) => unknown }) =>
  view.get(EntityKind.Stop, vm) === undefined;

test('a granted stop drains the VM, reboots it once and is deleted after its return', async (t) => {
  const rig = await setUp();
  await rig.commitAsOperator([grant(VM)]);
  let calls = 0;
  rig.start('z0', 'a', { faultOf: ({ index }) => ((calls = index + 1), CallFault.None) });
  t.true(await rig.until(isGone(VM), MINUTE_MS));
  t.true(calls <= steps.length, `${calls} calls; faults must be injected at each of them`);
  t.deepEqual(rig.platform.reboots, [VM]);
  t.deepEqual(findViolations(await rig.deltas()), []);
  await rig.close();
});

for (const fault of [CallFault.CrashBefore, CallFault.CrashAfter]) {
  // The next holder of the lease must be able to finish the stop from any state.
  test(`the next holder finishes a stop when the first has the fault ${fault} at any call`, async (t) => {
    for (const step of steps) {
      const rig = await setUp();
      await rig.commitAsOperator([grant(VM)]);
      rig.start('z0', 'a', { faultOf: ({ index }) => (index === step ? fault : CallFault.None) });
      await rig.clock.advance(50);
      const second = rig.start('z0', 'b');
      t.true(await rig.until(isGone(VM), 5 * MINUTE_MS), `step ${step}`);
      t.true(rig.platform.reboots.length >= 1 && rig.platform.reboots.length <= 2);
      t.deepEqual(findViolations(await rig.deltas()), [], `step ${step}`);
      await rig.close([second.lifecycle]);
    }
  });
}

for (const fault of [CallFault.LoseAnswer, CallFault.Down]) {
  test(`a stop is finished when any one call has the fault ${fault}`, async (t) => {
    for (const step of steps) {
      const rig = await setUp();
      await rig.commitAsOperator([grant(VM)]);
      rig.start('z0', 'a', { faultOf: ({ index }) => (index === step ? fault : CallFault.None) });
      t.true(await rig.until(isGone(VM), 5 * MINUTE_MS), `step ${step}`);
      t.deepEqual(rig.platform.reboots, [VM], `step ${step}`);
      t.deepEqual(findViolations(await rig.deltas()), [], `step ${step}`);
      await rig.close();
    }
  });
}

/** Faulty variant: ignores the stops that earlier holders recorded. */
const withoutStops = (history: ConfigHistory): ConfigHistory => ({
  ...history,
  deltasAfter: async (version, limit) =>
    (await history.deltasAfter(version, limit)).map((deltas) =>
      deltas.map((delta) => ({
        ...delta,
        changes: delta.changes.filter(({ kind }) => kind !== EntityKind.Stop),
      })),
    ),
});

test('a holder finishes a stop only if it reads the progress that the previous one recorded', async (t) => {
  for (const [history, isFinished] of [
    [undefined, true],
    [withoutStops, false],
  ] as const) {
    const rig = await setUp();
    await rig.commitAsOperator([grant(VM)]);
    const first = rig.start('z0', 'a', { inFlight: () => 1 });
    await rig.clock.advance(5_000);
    await rig.close([first.lifecycle]);
    const second = rig.start('z0', 'b', { history });
    t.is(await rig.until(isGone(VM), 5 * MINUTE_MS), isFinished);
    await rig.close([second.lifecycle]);
  }
});

// Rebooting the VM while a member may still send to it would cut off requests of that member.
test('a stop waits for the confirmation or the expiry of each member of the zone', async (t) => {
  const cases = [
    { title: 'old view', seen: { configVersion: 0 }, silent: false, ends: false },
    {
      title: 'in flight',
      seen: { configVersion: 99, draining: [{ vm: VM, inFlight: 1 }] },
      silent: false,
      ends: false,
    },
    { title: 'confirmed', seen: { configVersion: 99 }, silent: false, ends: true },
    { title: 'expired', seen: { configVersion: 0 }, silent: true, ends: true },
  ];
  for (const { title, seen, silent, ends } of cases) {
    const rig = await setUp();
    await rig.commitAsOperator([grant(VM)]);
    const members = () => {
      return [memberOf('z0', 'm', { lastHeardAt: silent ? 0 : rig.clock.now(), ...seen })];
    };
    rig.start('z0', 'a', { members });
    t.is(await rig.until(isGone(VM), MINUTE_MS), ends, title);
    t.is(rig.platform.reboots.length, ends ? 1 : 0, title);
    await rig.close();
  }
});

test('a registered member that was never heard from expires only after a wait of viewTtlMs', async (t) => {
  const rig = await setUp();
  rig.platform.rows.set('member/z0/m', { key: 'member/z0/m', version: 1, value: {} });
  await rig.commitAsOperator([grant(VM)]);
  rig.start('z0', 'a');
  await rig.clock.advance(14_000);
  t.is(rig.platform.reboots.length, 0);
  t.true(await rig.until(isGone(VM), MINUTE_MS));
  await rig.close();
});

test('a stop is cancelled when the vendor drains the VM or the budget is violated', async (t) => {
  const cases: { title: string; leaving: string[]; failed: string[] }[] = [
    { title: 'vendor drains the same VM', leaving: [VM], failed: [] },
    { title: 'vendor drains two others', leaving: ['z0r1v0', 'z0r1v1'], failed: [] },
    { title: 'rack lost', leaving: [], failed: ['z0r1v0', 'z0r1v1'] },
  ];
  for (const { title, leaving, failed } of cases) {
    const rig = await setUp();
    await rig.commitAsOperator([grant(VM)]);
    // A request that never ends keeps the stop in Draining.
    rig.start('z0', 'a', { inFlight: () => 1 });
    await rig.until(
      (view) => view.get(EntityKind.Stop, VM)?.state === StopState.Draining,
      MINUTE_MS,
    );
    for (const id of leaving) {
      rig.platform.vms.set(id, { id, zone: 'z0', state: ListedVmState.Leaving });
    }
    for (const id of failed) rig.unhealthyVms.set(id, ProbeResult.Failed);
    t.true(await rig.until(isGone(VM), MINUTE_MS), title);
    t.deepEqual(rig.platform.reboots, [], title);
    const view = await rig.newestView();
    for (const id of leaving) t.is(view.get(EntityKind.VmStatus, id)?.state, VmState.Leaving);
    t.is(rig.platform.drains.has(VM), leaving.includes(VM), title);
    await rig.close();
  }
});

test('a VM that does not return is recorded as failed and stays away', async (t) => {
  const rig = await setUp();
  await rig.commitAsOperator([grant(VM)]);
  const faultOf = ({ name }: PlatformCall) => {
    if (name === 'pools.reboot') rig.unhealthyVms.set(VM, ProbeResult.Unreachable);
    return CallFault.None;
  };
  const start = rig.start('z0', 'a', { faultOf });
  t.true(await rig.until(isGone(VM), 40 * MINUTE_MS, 10_000));
  const states = (await rig.deltas()).flatMap(({ changes }) =>
    changes.filter(({ kind }) => kind === EntityKind.VmStatus),
  );
  t.deepEqual(states[0]?.value, { id: VM, state: VmState.Failed });
  await rig.close([start.lifecycle]);
});

test('a platform outage that starts at any call only delays a stop', async (t) => {
  for (const step of steps) {
    const rig = await setUp();
    await rig.commitAsOperator([grant(VM)]);
    let outageEndsAt = Infinity;
    const faultOf = ({ index }: PlatformCall) => {
      if (index === step) outageEndsAt = rig.clock.now() + 10 * MINUTE_MS;
      return index >= step && rig.clock.now() < outageEndsAt ? CallFault.Down : CallFault.None;
    };
    rig.start('z0', 'a', { faultOf });
    t.true(await rig.until(isGone(VM), 20 * MINUTE_MS, 10_000), `step ${step}`);
    t.deepEqual(rig.platform.reboots, [VM], `step ${step}`);
    t.deepEqual(findViolations(await rig.deltas()), [], `step ${step}`);
    await rig.close();
  }
});
