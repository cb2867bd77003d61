import test from 'ava';
import { EntityState, EntityKind, type EntityChange } from '../configuration/index.js';
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
