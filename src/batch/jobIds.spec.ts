import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from './gateway.js';
import { ASSIGNMENT_TABLE } from './rows.js';
import { JobState, type JobSpec } from './types.js';

const QUEUE = 'motions';
const OTHER_SERVICE = 'standings';
const SERVICES = [QUEUE, OTHER_SERVICE];
/** Time within which the nodes follow a configuration. */
const CONFIG_MS = 2_000;

interface Case {
  title: string;
  run: (t: ExecutionContext, rig: BatchRig, nodes: [RigNode, RigNode, RigNode]) => Promise<void>;
}

async function submit(rig: BatchRig, { node }: RigNode, spec: JobSpec): Promise<CallOutcome> {
  const queue = required(node.config?.queues.find(({ name }) => name === QUEUE));
  return (await rig.settle(node.gateway.submit(queue, spec, 3_000))).outcome;
}

async function stateOf(rig: BatchRig, { node }: RigNode, { id }: JobSpec) {
  const queue = required(node.config?.queues.find(({ name }) => name === QUEUE));
  return (await rig.settle(node.gateway.status(queue, id))).state;
}

/** Assigns the queue to a service in a new configuration, and waits until the nodes follow it. */
async function move(rig: BatchRig, version: number, service: string): Promise<void> {
  rig.configure({ version, services: SERVICES, movedQueues: { [QUEUE]: service } });
  await rig.advance(CONFIG_MS);
}

/** Number of runs of each task of a job. */
function runCounts(rig: BatchRig, { id }: JobSpec): number[] {
  const counts = new Map<string, number>();
  for (const { task } of rig.fleet.runs()) {
    if (task.startsWith(`${id}.`)) counts.set(task, (counts.get(task) ?? 0) + 1);
  }
  return [...counts.values()];
}

// Guard against a submission that runs a second time when it arrives again after a configuration has
// moved its queue to another service.
const cases: Case[] = [
  {
    title: 'a submission that is repeated after its queue has moved is the earlier job',
    run: async (t, rig, [first, second]) => {
      const spec = rig.createJob(QUEUE, [{ count: 3 }]);
      t.is(await submit(rig, first, spec), CallOutcome.Ok);
      await rig.advance(2_000);
      await move(rig, 2, OTHER_SERVICE);
      for (const node of [first, second]) t.is(await submit(rig, node, spec), CallOutcome.Ok);
      await rig.advance(3_000);
      t.deepEqual(runCounts(rig, spec), [1, 1, 1]);
      t.is(await stateOf(rig, second, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a node that has started after a queue has moved knows where its jobs may be',
    run: async (t, rig, nodes) => {
      const spec = rig.createJob(QUEUE, [{ count: 2 }]);
      t.is(await submit(rig, nodes[0], spec), CallOutcome.Ok);
      await rig.advance(2_000);
      for (const node of nodes) node.isDead = true;
      rig.configure({ version: 2, services: SERVICES, movedQueues: { [QUEUE]: OTHER_SERVICE } });
      const started = rig.addNode('node-0');
      await rig.until(() => started.node.hasLoadedService(OTHER_SERVICE));
      await rig.advance(1_000);
      t.is(await submit(rig, started, spec), CallOutcome.Ok);
      await rig.advance(12_000);
      t.deepEqual(runCounts(rig, spec), [1, 1]);
    },
  },
  {
    title: 'a write that is applied after the queue of its job has moved has no effect',
    run: async (t, rig, [first, second]) => {
      const spec = rig.createJob(QUEUE, [{ count: 2 }]);
      const holder = required(rig.holderOf(QUEUE));
      const [gateway, other] = first === holder ? [second, first] : [first, second];
      rig.cutLink(gateway.name, holder.name);
      // The queue and its assignment are known, so that the write of the job is the delayed one.
      t.is(await submit(rig, gateway, rig.createJob(QUEUE, [{ count: 1 }])), CallOutcome.Ok);
      rig.store.faults.set(gateway.name, StoreFault.ApplyLate);
      rig.configure({ version: 2, services: SERVICES, movedQueues: { [QUEUE]: OTHER_SERVICE } });
      const unanswered = submit(rig, gateway, spec);
      await rig.until(() => other.node.config?.version === 2, 500);
      t.is(await submit(rig, other, spec), CallOutcome.Ok);
      await unanswered;
      rig.store.faults.delete(gateway.name);
      await rig.advance(12_000);
      t.deepEqual(runCounts(rig, spec), [1, 1]);
      t.is(await stateOf(rig, other, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a node with an older configuration does not run a job again that has moved on',
    run: async (t, rig, nodes) => {
      const [lagging, current] = nodes;
      await submit(rig, lagging, rig.createJob(QUEUE, [{ count: 1 }]));
      rig.store.delays.set(`${lagging.name} operator`, 60_000);
      await rig.advance(CONFIG_MS);
      await move(rig, 2, OTHER_SERVICE);
      t.is(lagging.node.config?.version, 1);
      const spec = rig.createJob(QUEUE, [{ count: 2 }]);
      t.is(await submit(rig, current, spec), CallOutcome.Ok);
      await rig.advance(2_000);
      t.is(await submit(rig, lagging, spec), CallOutcome.Ok);
      await rig.advance(3_000);
      t.deepEqual(runCounts(rig, spec), [1, 1]);
    },
  },
  {
    title: 'a job of a queue that has moved away and back runs once, wherever it was accepted',
    run: async (t, rig, [first, second]) => {
      const specs = SERVICES.map(() => rig.createJob(QUEUE, [{ count: 2 }]));
      const [atFirst, atOther] = specs.map((spec) => required(spec));
      t.is(await submit(rig, first, required(atFirst)), CallOutcome.Ok);
      await move(rig, 2, OTHER_SERVICE);
      t.is(await submit(rig, second, required(atOther)), CallOutcome.Ok);
      await move(rig, 3, QUEUE);
      for (const spec of specs) {
        t.is(await submit(rig, second, spec), CallOutcome.Ok);
        await rig.advance(3_000);
        t.deepEqual(runCounts(rig, spec), [1, 1]);
      }
    },
  },
  {
    // Guards against a job that is reported as accepted although no service has it.
    title: 'a job whose id was closed for another service, which never got it, runs after all',
    run: async (t, rig, [first]) => {
      await submit(rig, first, rig.createJob(QUEUE, [{ count: 1 }]));
      await move(rig, 2, OTHER_SERVICE);
      const spec = rig.createJob(QUEUE, [{ count: 2 }]);
      // All nodes end between the closing of the id and the acceptance.
      rig.store.onTransaction = (_node, { writes }) => {
        if (!writes.some(({ key }) => key === spec.id)) return;
        rig.store.onTransaction = () => undefined;
        for (const node of rig.nodes) node.isDead = true;
      };
      void submit(rig, first, spec);
      t.true(await rig.until(() => first.isDead, 1_000));
      const restarted = rig.addNode('node-0');
      await move(rig, 3, QUEUE);
      await rig.until(() => restarted.node.hasLoadedService(QUEUE));
      t.is(await submit(rig, restarted, spec), CallOutcome.Ok);
      t.true(await rig.until(() => rig.fleet.runs().some(({ task }) => task.startsWith(spec.id))));
      await rig.advance(3_000);
      t.deepEqual(runCounts(rig, spec), [1, 1]);
      t.is(await stateOf(rig, restarted, spec), JobState.Succeeded);
    },
  },
  {
    // Guards against calls to the store for each job of a queue that never moves.
    title: 'a queue that does not move costs one read of the assignments for each configuration',
    run: async (t, rig, [first]) => {
      const reads = () => rig.store.tableReads.get(`${first.name} ${ASSIGNMENT_TABLE}`) ?? 0;
      const submitMany = async () => {
        for (let count = 0; count < 10; count++)
          await submit(rig, first, rig.createJob(QUEUE, [{ count: 1 }]));
      };
      await submitMany();
      t.is(reads(), 1);
      await move(rig, 2, QUEUE);
      await submitMany();
      t.is(reads(), 2);
      t.is(rig.store.rowsOfPart(ASSIGNMENT_TABLE, '').length, SERVICES.length);
    },
  },
];

/** Times between two attempts, in milliseconds; a claim of an id takes about 20 ms. */
const ATTEMPT_OFFSETS_MS = [-24, -20, -16, -12, -8, -4, 0, 4, 8, 12, 16, 20, 24];

// Guard against a submission that is accepted by two services: while its queue moves, two attempts at it
// close the id for each other's service, and then each opens it for its own.
const concurrentCases = [true, false].flatMap((reachesHolder) =>
  ATTEMPT_OFFSETS_MS.map((offsetMs): Case => {
    const path = reachesHolder ? 'the holders' : 'the store';
    return {
      title: `attempts for two services, ${offsetMs} ms apart, through ${path}, are one job`,
      run: async (t, rig, nodes) => {
        const [lagging, current] = nodes;
        await submit(rig, lagging, rig.createJob(QUEUE, [{ count: 1 }]));
        await move(rig, 2, OTHER_SERVICE);
        await submit(rig, lagging, rig.createJob(QUEUE, [{ count: 1 }]));
        await move(rig, 3, QUEUE);
        await submit(rig, lagging, rig.createJob(QUEUE, [{ count: 1 }]));
        rig.store.delays.set(`${lagging.name} operator`, 60_000);
        await rig.advance(CONFIG_MS);
        await move(rig, 4, OTHER_SERVICE);
        t.is(lagging.node.config?.version, 3);
        const links = nodes.flatMap(({ name }) => nodes.map((to) => [name, to.name] as const));
        if (!reachesHolder) for (const [from, to] of links) rig.cutLink(from, to);
        const spec = rig.createJob(QUEUE, [{ count: 2 }]);
        const attempt = async (node: RigNode, delayMs: number) => {
          await rig.clock.sleep(delayMs);
          return submit(rig, node, spec);
        };
        const outcomes = await Promise.all([
          attempt(lagging, Math.max(0, -offsetMs)),
          attempt(current, Math.max(0, offsetMs)),
          rig.advance(8_000),
        ]);
        t.false(outcomes.includes(CallOutcome.Refused));
        for (const [from, to] of links) rig.restoreLink(from, to);
        t.is(await submit(rig, current, spec), CallOutcome.Ok);
        await rig.advance(3_000);
        t.deepEqual(runCounts(rig, spec), [1, 1]);
        t.is(await stateOf(rig, current, spec), JobState.Succeeded);
      },
    };
  }),
);

for (const { title, run } of [...cases, ...concurrentCases]) {
  test(title, async (t) => {
    const rig = new BatchRig({ services: SERVICES });
    await rig.ready(SERVICES);
    const [first, second, third] = rig.nodes;
    await run(t, rig, [required(first), required(second), required(third)]);
    t.deepEqual(rig.violations(), []);
  });
}
