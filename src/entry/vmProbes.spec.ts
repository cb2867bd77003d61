import test from 'ava';
import { EntityState, EntityKind, type EntityChange } from '../configuration/index.js';
import { ProbeResult } from '../controller/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import { createVmProbes } from './vmProbes.js';

/** Probes per second that a process may make. */
const MAX_PER_S = 40;

/** Probes a zone for two minutes. Returns the rate, and the longest time without a probe of a VM. */
async function probe(vms: number, probesPerInterval?: number) {
  const clock = createVirtualClock();
  const view = new EntityState();
  const hardware = { zone: 'z', rack: 'r', pool: 'p', cores: 1, memoryMib: 1, accelerators: 0 };
  const executor = { host: '127.0.0.1', port: 1, slots: 8, connections: 64 };
  const changes = Array.from({ length: vms }, (_, index): EntityChange => {
    const id = `vm-${index}`;
    return { kind: EntityKind.Vm, id, value: { id, ...hardware, executor } };
  });
  view.apply({ changeId: 'c', author: 'a', changes }, 1);
  const times = new Map<string, number[]>();
  const probes = createVmProbes({
    ...{ view, zone: 'z', clock, random: createRandom(1), probesPerInterval },
    probe: (vm) => {
      times.set(vm, [...(times.get(vm) ?? []), clock.now()]);
      return Promise.resolve(true);
    },
  });
  const lifecycle = new Lifecycle('probes');
  const task = probes.run(lifecycle);
  await clock.advance(120_000);
  await lifecycle.close();
  await task;
  const counts = [...times.values()].map(({ length }) => length);
  const gaps = [...times.values()].flatMap((at) => at.map((time, i) => time - (at[i - 1] ?? 0)));
  const probed = changes.filter(({ id }) => probes.lastProbe(id) === ProbeResult.Healthy).length;
  const perSecond = counts.reduce((sum, count) => sum + count, 0) / 120;
  return { perSecond, longestGapMs: Math.max(...gaps), probed };
}

// Guards against probes that take a large part of a core in a zone of the design size.
test('probes stay within their rate, and every VM has its turn', async (t) => {
  const large = await probe(1_615);
  t.true(large.perSecond <= MAX_PER_S);
  t.is(large.probed, 1_615);
  t.true(large.longestGapMs <= 27 * 2_500);
  t.true((await probe(1_615, Infinity)).perSecond > MAX_PER_S);
});

// Guards against failures that are found later in the zones of today.
test('a small zone is probed whole in each interval', async (t) => {
  const small = await probe(60);
  t.is(small.probed, 60);
  t.true(small.longestGapMs <= 2_500);
  t.true((await probe(60, 20)).longestGapMs > 2_500);
});
