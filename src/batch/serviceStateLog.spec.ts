import test from 'ava';
import { BatchRig, required } from '../testing/batchRig/index.js';

/** Fields of the last `service_state` line of a node. */
function lastState(lines: readonly string[]): Record<string, string> {
  const line = lines.findLast((text) => text.includes('event=service_state'));
  const pairs = (line ?? '').trim().split(' ');
  return Object.fromEntries(pairs.map((pair) => pair.split('=') as [string, string]));
}

interface Case {
  title: string;
  arrange: (rig: BatchRig) => Promise<void>;
  expected: Record<string, string>;
}

const cases: Case[] = [
  {
    title: 'tasks that run',
    arrange: async (rig) => {
      const spec = rig.createJob('motions', [{ count: 2, isLasting: true }]);
      await rig.settle(liveGateway(rig).submit(rig.queue('motions'), spec, 3_000));
      await rig.advance(2_000);
    },
    expected: { jobs: '1', waiting: '0', task_runs: '2', worker_runs: '2', usable: '3' },
  },
  {
    title: 'tasks that fit on no worker',
    arrange: async (rig) => {
      const spec = rig.createJob('motions', [{ count: 2, cpuMillis: 9_000 }]);
      await rig.settle(liveGateway(rig).submit(rig.queue('motions'), spec, 3_000));
      await rig.advance(2_000);
    },
    expected: { waiting: '2', unplaced: '2', held_jobs: '0' },
  },
  {
    title: 'jobs that are held back after a takeover because a worker cannot be reached',
    arrange: async (rig) => {
      const spec = rig.createJob('motions', [{ count: 2, isLasting: true }]);
      await rig.settle(liveGateway(rig).submit(rig.queue('motions'), spec, 3_000));
      await rig.advance(2_000);
      const holder = required(rig.holderOf('motions'));
      const worker = rig.fleet.runs()[0]?.worker ?? '';
      for (const { name } of rig.nodes) rig.fleet.cuts.add(`${name}>${worker}`);
      holder.isDead = true;
      await rig.until(() => rig.holderOf('motions') !== undefined);
      await rig.advance(4_000);
    },
    expected: { held_jobs: '1', silent: '1', unreached: '1' },
  },
];

function liveGateway(rig: BatchRig) {
  return required(rig.nodes.find(({ isDead }) => !isDead)).node.gateway;
}

// Guards against a task that waits for a reason that no log line shows.
for (const { title, arrange, expected } of cases) {
  test(`service_state shows ${title}`, async (t) => {
    const rig = new BatchRig();
    rig.fleet.script = () => ({ runMs: Infinity });
    await rig.ready();
    await arrange(rig);
    const state = lastState(required(rig.holderOf('motions')).logLines);
    for (const [field, value] of Object.entries(expected)) t.is(state[field], value, field);
  });
}

test('service_state is written at a peak that exhausts the rate limit of the log', async (t) => {
  // Guards against a peak that no line explains: its own lines displaced the summaries.
  const rig = new BatchRig({ nodes: 1, workersPerService: 20 });
  await rig.ready();
  const [node] = rig.nodes;
  const { gateway } = required(node).node;
  for (let count = 0; count < 1_500; count++) {
    const spec = rig.createJob('motions', [{ count: 2, cpuMillis: 100, memoryMb: 10 }]);
    void gateway.submit(rig.queue('motions'), spec, 3_000);
    if (count % 10 === 0) await rig.advance(20);
  }
  await rig.advance(1_200);
  const lines = required(node).logLines;
  t.true(lines.some((text) => text.includes('left_out=')));
  const states = lines.filter((text) => text.includes('event=service_state'));
  t.true(states.length >= 4, `${states.length} lines`);
  const total = (key: string) =>
    states.reduce((sum, text) => sum + Number(new RegExp(` ${key}=(\\d+)`).exec(text)?.[1]), 0);
  t.true(total('accepted') > 1_000);
  t.true(total('in_time') > 500);
  t.true(total('rounds') > 0);
});
