import test from 'ava';
import { EntityKind, StopState, VmState, type EntityChange } from '../configuration/index.js';
import { EventName } from '../events/index.js';
import { ListedVmState } from '../platform/index.js';
import { ControllerRig, fleetOf } from '../testing/controllerRig.js';
import { MemoryView } from '../testing/memoryView.js';
import { ProbeResult, statusChanges } from './index.js';

const VM = 'z0r0v0';
const FLEET = fleetOf({ zones: 2, racksPerZone: 2, vmsPerRack: 2, pools: [{}] });

test('the recorded state follows the VM list and the probes', (t) => {
  const { Live, Leaving } = ListedVmState;
  const { Healthy, Failed, Unreachable, Unknown } = ProbeResult;
  const cases: {
    recorded?: VmState;
    listed?: ListedVmState;
    probe: ProbeResult;
    stop?: StopState;
    hasNoBackend?: boolean;
    becomes: VmState;
  }[] = [
    { listed: Live, probe: Healthy, becomes: VmState.Up },
    { listed: Live, probe: Unknown, becomes: VmState.Up },
    { listed: Live, probe: Failed, becomes: VmState.Failed },
    { listed: Live, probe: Unreachable, becomes: VmState.Unreachable },
    { listed: Leaving, probe: Healthy, becomes: VmState.Leaving },
    { listed: Leaving, probe: Failed, becomes: VmState.Leaving },
    { listed: undefined, probe: Healthy, becomes: VmState.Up },
    { listed: undefined, probe: Unknown, becomes: VmState.Unreachable },
    { recorded: VmState.Leaving, listed: undefined, probe: Healthy, becomes: VmState.Leaving },
    { recorded: VmState.Leaving, listed: Live, probe: Unknown, becomes: VmState.Leaving },
    {
      recorded: VmState.Leaving,
      listed: Live,
      probe: Unknown,
      hasNoBackend: true,
      becomes: VmState.Up,
    },
    { recorded: VmState.Failed, listed: Live, probe: Unknown, becomes: VmState.Failed },
    { recorded: VmState.Leaving, listed: Live, probe: Healthy, becomes: VmState.Up },
    { recorded: VmState.Failed, listed: Live, probe: Healthy, becomes: VmState.Up },
    // A VM that a planned stop reboots is expected not to answer.
    { listed: Live, probe: Unreachable, stop: StopState.Stopping, becomes: VmState.Up },
    { listed: undefined, probe: Unknown, stop: StopState.Returning, becomes: VmState.Up },
    // A VM that is drained for a planned stop may refuse its probes.
    { listed: Live, probe: Failed, stop: StopState.Granted, becomes: VmState.Up },
    { listed: Live, probe: Failed, stop: StopState.Draining, becomes: VmState.Up },
    { listed: Live, probe: Failed, stop: StopState.Drained, becomes: VmState.Up },
    {
      recorded: VmState.Failed,
      listed: Live,
      probe: Failed,
      stop: StopState.Draining,
      becomes: VmState.Failed,
    },
    { listed: Live, probe: Unreachable, stop: StopState.Draining, becomes: VmState.Unreachable },
    { listed: Leaving, probe: Unreachable, stop: StopState.Stopping, becomes: VmState.Leaving },
  ];
  for (const { recorded, listed, probe, stop, hasNoBackend, becomes } of cases) {
    const view = new MemoryView();
    view.apply(FLEET);
    const changes: EntityChange[] = [];
    if (recorded) {
      changes.push({ kind: EntityKind.VmStatus, id: VM, value: { id: VM, state: recorded } });
    }
    const vm = view.get(EntityKind.Vm, VM);
    if (hasNoBackend && vm) {
      changes.push({ kind: EntityKind.Vm, id: VM, value: { ...vm, executor: undefined } });
    }
    if (stop) {
      changes.push({ kind: EntityKind.Stop, id: VM, value: { id: VM, wave: 'w', state: stop } });
    }
    view.apply(changes);
    const others = ['z0r0v1', 'z0r1v0', 'z0r1v1'].map((id) => ({ id, state: Live }));
    const seen = {
      zone: 'z0',
      listed: listed ? [...others, { id: VM, state: listed }] : others,
      lastProbe: (vm: string) => (vm === VM ? probe : Healthy),
    };
    view.apply(statusChanges(view, seen));
    const found = view.get(EntityKind.VmStatus, VM)?.state ?? VmState.Up;
    t.is(found, becomes, JSON.stringify({ recorded, listed, probe, stop }));
    t.true(view.list(EntityKind.VmStatus).every(({ id }) => id === VM));
  }
});

test('a vendor drain of a whole zone gives one change set, and one event for each VM', async (t) => {
  const rig = new ControllerRig();
  await rig.load(FLEET);
  const { deps, lifecycle } = rig.start('z0', 'a');
  const leaving: string[] = [];
  const returned: string[] = [];
  deps.events.on(EventName.VmReturned, ({ vm }) => void returned.push(vm));
  deps.events.on(EventName.VmLeaving, ({ vm }) => void leaving.push(vm));
  await rig.clock.advance(5_000);
  const before = (await rig.deltas()).length;
  const vms = [...rig.platform.vms.values()].filter(({ zone }) => zone === 'z0');
  for (const vm of vms) vm.state = ListedVmState.Leaving;
  await rig.clock.advance(5_000);
  const added = (await rig.deltas()).slice(before);
  t.is(added.length, 1);
  t.is(added[0]?.changes.length, vms.length);
  t.deepEqual(leaving.sort(), vms.map(({ id }) => id).sort());
  t.true(
    (await rig.newestView()).list(EntityKind.VmStatus).every((s) => s.state === VmState.Leaving),
  );
  for (const vm of vms) vm.state = ListedVmState.Live;
  await rig.clock.advance(5_000);
  t.is((await rig.newestView()).list(EntityKind.VmStatus).length, 0);
  t.deepEqual(returned.sort(), vms.map(({ id }) => id).sort());
  await rig.close([lifecycle]);
});
