import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from './gateway.js';
import { encodeJob } from './jobCodec.js';
import { inboxKey } from './rows.js';
import { JobState, OrderAnswer, RunEnd, type JobSpec } from './index.js';

const SERVICE = 'motions';
/** Time within which the nodes follow a configuration. */
const CONFIG_MS = 2_000;
const RUN_MS = 5_000;

interface Case {
  title: string;
  rig?: ConstructorParameters<typeof BatchRig>[0];
  run: (t: ExecutionContext, rig: BatchRig) => Promise<void>;
}

/** Lets the first `count` runs of the first task of a job fail. */
function failRuns(rig: BatchRig, { id }: JobSpec, count: number): void {
  let failed = 0;
  rig.fleet.script = (task) => {
    const fails = task === `${id}.0.0.0` && failed++ < count;
    return { runMs: RUN_MS, end: fails ? RunEnd.Failed : RunEnd.Done };
  };
}

async function submit(rig: BatchRig, spec: JobSpec): Promise<CallOutcome> {
  const { gateway } = required(rig.nodes[0]).node;
  return (await rig.settle(gateway.submit(rig.queue(SERVICE), spec, 3_000))).outcome;
}

async function removeQueue(rig: BatchRig): Promise<void> {
  rig.configure({ version: 2, services: [SERVICE], removedQueues: [SERVICE] });
  await rig.advance(CONFIG_MS);
}

async function restoreQueue(rig: BatchRig): Promise<void> {
  rig.configure({ version: 3, services: [SERVICE] });
  await rig.advance(CONFIG_MS);
}

/** Replaces all nodes by one that knows only the present configuration. */
async function replaceNodes(rig: BatchRig): Promise<RigNode> {
  for (const node of rig.nodes) node.isDead = true;
  const node = rig.addNode('node-new');
  await rig.until(() => node.node.hasLoadedService(SERVICE));
  return node;
}

async function stateOf(rig: BatchRig, { id }: JobSpec): Promise<JobState | undefined> {
  const { gateway } = required(rig.nodes.find(({ isDead }) => !isDead)).node;
  return (await rig.settle(gateway.status(rig.queue(SERVICE), id))).state;
}

// Guard against a job that ends for good because of what a configuration does not contain for a while:
// its queue, and with it the number of attempts and the need for tickets.
const cases: Case[] = [
  {
    title: 'a run that fails while its queue is removed is one of its attempts',
    run: async (t, rig) => {
      const spec = rig.createJob(SERVICE, [{ count: 2 }]);
      failRuns(rig, spec, 1);
      t.is(await submit(rig, spec), CallOutcome.Ok);
      await removeQueue(rig);
      await rig.advance(RUN_MS);
      await restoreQueue(rig);
      await rig.advance(2 * RUN_MS);
      t.is(await stateOf(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a job of a removed queue fails after the attempts of its queue',
    rig: { maxAttempts: 2 },
    run: async (t, rig) => {
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      failRuns(rig, spec, 5);
      t.is(await submit(rig, spec), CallOutcome.Ok);
      await removeQueue(rig);
      await rig.advance(5 * RUN_MS);
      t.is(rig.fleet.runs().length, 2);
      await restoreQueue(rig);
      t.is(await stateOf(rig, spec), JobState.Failed);
    },
  },
  {
    title: 'a holder that never knew the queue of a job applies the terms of its acceptance',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      failRuns(rig, spec, 1);
      t.is(await submit(rig, spec), CallOutcome.Ok);
      await removeQueue(rig);
      await replaceNodes(rig);
      await rig.advance(3 * RUN_MS);
      t.is(rig.fleet.runs().length, 2);
      await restoreQueue(rig);
      t.is(await stateOf(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a job whose terms are not known goes on after a failed run once its queue is back',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const spec = rig.createJob(SERVICE, [{ count: 2 }]);
      failRuns(rig, spec, 1);
      // As an earlier version has stored it.
      rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(spec));
      await rig.until(() => rig.fleet.runs().length === 2);
      await removeQueue(rig);
      await replaceNodes(rig);
      await rig.advance(4 * RUN_MS);
      t.is(rig.fleet.runs().length, 2);
      await restoreQueue(rig);
      await rig.advance(2 * RUN_MS);
      t.is(await stateOf(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'tasks of a removed queue start with the tickets that it needs',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.ticketLifeMs = 30_000;
      const executor = required(rig.fleet.executors.get(`${SERVICE}-0`));
      executor.requiresTicket = true;
      rig.configure({ version: 2, services: [SERVICE] });
      await rig.advance(CONFIG_MS);
      rig.fleet.script = () => ({ runMs: RUN_MS });
      const spec = rig.createJob(SERVICE, [{ count: 1 }, { count: 1, after: [0] }]);
      t.is(await submit(rig, spec), CallOutcome.Ok);
      rig.configure({ version: 3, services: [SERVICE], removedQueues: [SERVICE] });
      await rig.advance(4 * RUN_MS);
      t.is(rig.fleet.runs().length, 2);
      const holder = required(rig.holderOf(SERVICE));
      t.is(holder.counters.value('starts', OrderAnswer.TicketRefused), 0);
    },
  },
];

for (const { title, rig: options, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig(options);
    await rig.ready();
    await run(t, rig);
    t.deepEqual(rig.violations(), []);
  });
}
