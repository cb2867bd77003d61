import test from 'ava';
import {
  EntityState,
  EntityKind,
  MoveState,
  StopState,
  type EntityChange,
} from '../configuration/index.js';
import { ProbeResult } from '../controller/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import { createVmProbes } from './vmProbes.js';

/** Maximum number of probes per second of one process. */
const MAX_PROBES_PER_S = 40;

/**
 * Probes a zone for two minutes. Returns the probe rate, the longest time without a probe of any
 * VM, and the number of VMs that were found healthy.
 */
async function probeZone(vms: number, probesPerInterval?: number) {
  const clock = createVirtualClock();
  const view = new EntityState();
  const hardware = { zone: 'z', rack: 'r', pool: 'p', cores: 1, memoryMib: 1, accelerators: 0 };
  const executor = { host: '127.0.0.1', port: 1, slots: 8, connections: 64 };
  const changes = Array.from({ length: vms }, (_, index): EntityChange => {
    const id = `vm-${index}`;
    return { kind: EntityKind.Vm, id, value: { id, ...hardware, executor } };
  });
  view.apply({ changeId: 'c', author: 'a', changes }, 1);
  const probeTimes = new Map<string, number[]>();
  const probes = createVmProbes({
    ...{ view, zone: 'z', clock, random: createRandom(1), probesPerInterval },
    probe: (vm) => {
      probeTimes.set(vm, [...(probeTimes.get(vm) ?? []), clock.now()]);
      return Promise.resolve(true);
    },
  });
  const lifecycle = new Lifecycle('probes');
  const task = probes.run(lifecycle);
  await clock.advance(120_000);
  await lifecycle.close();
  await task;
  const counts = [...probeTimes.values()].map(({ length }) => length);
  const gaps = [...probeTimes.values()].flatMap((at) =>
    at.map((time, i) => time - (at[i - 1] ?? 0)),
  );
  const probed = changes.filter(({ id }) => probes.lastProbe(id) === ProbeResult.Healthy).length;
  const perSecond = counts.reduce((sum, count) => sum + count, 0) / 120;
  return { perSecond, longestGapMs: Math.max(...gaps), probed };
}

// Guards against probes that take a large share of a core in a zone of the design size.
test('probes of a large zone stay within the rate limit and reach every VM', async (t) => {
  const large = await probeZone(1_615);
  t.true(large.perSecond <= MAX_PROBES_PER_S);
  t.is(large.probed, 1_615);
  t.true(large.longestGapMs <= 27 * 2_500);
  t.true((await probeZone(1_615, Infinity)).perSecond > MAX_PROBES_PER_S);
});

// Guards against the rate limit delaying the detection of failures in zones of the current size.
test('all VMs of a small zone are probed in each interval', async (t) => {
  const small = await probeZone(60);
  t.is(small.probed, 60);
  t.true(small.longestGapMs <= 2_500);
  t.true((await probeZone(60, 20)).longestGapMs > 2_500);
});

const VM = 'vm-0';
const stop: EntityChange = {
  kind: EntityKind.Stop,
  id: VM,
  value: { id: VM, wave: 'w', state: StopState.Draining },
};
const move: EntityChange = {
  kind: EntityKind.Move,
  id: VM,
  value: { id: VM, from: 'p', to: 'q', state: MoveState.Draining },
};

/** Planned work that is in the configuration when a probe starts and when it ends. */
const refusedProbes: {
  title: string;
  atStart?: EntityChange;
  atEnd?: EntityChange;
  result: ProbeResult;
}[] = [
  { title: 'without planned work', result: ProbeResult.Failed },
  { title: 'during a stop', atStart: stop, atEnd: stop, result: ProbeResult.Unknown },
  { title: 'before a stop is cancelled', atStart: stop, result: ProbeResult.Unknown },
  { title: 'as a stop begins', atEnd: stop, result: ProbeResult.Unknown },
  { title: 'during a move', atStart: move, atEnd: move, result: ProbeResult.Unknown },
];

for (const { title, atStart, atEnd, result } of refusedProbes) {
  // Guards against a VM recorded as failed because it refused a probe while it was drained.
  test(`a probe that a VM refuses ${title} counts as ${result}`, async (t) => {
    const clock = createVirtualClock();
    const view = new EntityState();
    const hardware = { zone: 'z', rack: 'r', pool: 'p', cores: 1, memoryMib: 1, accelerators: 0 };
    const executor = { host: '127.0.0.1', port: 1, slots: 8, connections: 64 };
    const vm: EntityChange = {
      kind: EntityKind.Vm,
      id: VM,
      value: { id: VM, ...hardware, executor },
    };
    const changes = atStart ? [vm, atStart] : [vm];
    view.apply({ changeId: 'c', author: 'a', changes }, 1);
    const probes = createVmProbes({
      ...{ view, zone: 'z', clock, random: createRandom(1) },
      probe: () => {
        const removed = atStart ? [{ kind: atStart.kind, id: VM } as EntityChange] : [];
        const after = atEnd ? [atEnd] : removed;
        view.apply({ changeId: 'd', author: 'a', changes: after }, 2);
        return Promise.resolve(false);
      },
    });
    const lifecycle = new Lifecycle('probes');
    const task = probes.run(lifecycle);
    await clock.advance(100);
    t.is(probes.lastProbe(VM), result);
    await lifecycle.close();
    await task;
  });
}
