import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from './gateway.js';
import { encodeJob } from './jobCodec.js';
import { cancellationId, inboxKey, jobKey } from './rows.js';
import { JobState, type JobSpec } from './types.js';

const SERVICE = 'motions';

interface Case {
  title: string;
  run: (t: ExecutionContext, rig: BatchRig, nodes: CaseNodes) => Promise<void>;
}

interface CaseNodes {
  holder: RigNode;
  other: RigNode;
}

function submit(rig: BatchRig, { node }: RigNode, spec: JobSpec) {
  return rig.settle(node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
}

function cancel(rig: BatchRig, { node }: RigNode, { id }: JobSpec) {
  return rig.settle(node.gateway.cancel(rig.queue(SERVICE), id));
}

function createJob(rig: BatchRig): JobSpec {
  rig.fleet.script = () => ({ runMs: 4_000 });
  return rig.createJob(SERVICE, [{ count: 2 }, { count: 2, after: [0] }]);
}

/** Loses the answer to the holder's write of a job; the write is applied. */
function loseAcceptanceAnswer(rig: BatchRig, holder: RigNode, { id }: JobSpec): void {
  rig.store.onTransaction = (node, { writes }) => {
    const { table } = jobKey(SERVICE, id);
    if (node !== holder.name || !writes.some((row) => row.table === table && row.key === id))
      return;
    rig.store.onTransaction = () => undefined;
    rig.store.faults.set(node, StoreFault.LoseAnswer);
    rig.clock.setTimer(100, () => rig.store.faults.delete(node));
  };
}

/** Checks that a job is cancelled and that nothing of it runs from now on. */
async function checkCancelled(
  t: ExecutionContext,
  rig: BatchRig,
  node: RigNode,
  { id }: JobSpec,
): Promise<void> {
  await rig.advance(3_000);
  const startedBefore = rig.fleet.runs().length;
  t.deepEqual(
    rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined),
    [],
  );
  await rig.advance(10_000);
  t.is(rig.fleet.runs().length, startedBefore);
  const status = await rig.settle(node.node.gateway.status(rig.queue(SERVICE), id));
  t.is(status.state, JobState.Cancelled);
}

const cases: Case[] = [
  ...(['holder', 'other'] as const).map((through): Case => {
    return {
      // Guards against a job that runs after its cancellation was acknowledged: the cancellation
      // reaches the holder while it waits for the lost answer to its write of the job.
      title: `a job cancelled through the ${through} node is not run once its write turns out applied`,
      run: async (t, rig, nodes) => {
        const spec = createJob(rig);
        loseAcceptanceAnswer(rig, nodes.holder, spec);
        t.is((await submit(rig, nodes[through], spec)).outcome, CallOutcome.Ok);
        t.is((await cancel(rig, nodes[through], spec)).outcome, CallOutcome.Ok);
        await checkCancelled(t, rig, nodes[through], spec);
      },
    };
  }),
  {
    // Guards against the same when only the row of the cancellation reaches the holder.
    title: 'a cancellation in the store waits for the job whose write has no answer yet',
    run: async (t, rig, { holder, other }) => {
      const spec = createJob(rig);
      loseAcceptanceAnswer(rig, holder, spec);
      const answer = other.node.gateway.submit(rig.queue(SERVICE), spec, 3_000);
      await rig.until(() => rig.store.rowsOfPart('job', SERVICE).length === 1);
      rig.store.put(inboxKey(SERVICE, cancellationId(spec.id)), spec.id);
      t.is((await rig.settle(answer)).outcome, CallOutcome.Ok);
      await checkCancelled(t, rig, other, spec);
    },
  },
  {
    // Guards against a holder that loads an inherited job and starts its tasks before it reads the
    // cancellation that lies beside it in the store.
    title: 'a new holder starts no task of an inherited job that was cancelled through the store',
    run: async (t, rig, { holder, other }) => {
      const spec = createJob(rig);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      for (const { name } of rig.nodes) rig.store.delays.set(`${name} inbox`, 500);
      rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(spec));
      rig.store.put(inboxKey(SERVICE, cancellationId(spec.id)), spec.id);
      holder.isDead = true;
      t.true(await rig.until(() => other.node.hasLoadedService(SERVICE)));
      await rig.advance(12_000);
      t.deepEqual(rig.fleet.runs(), []);
      await checkCancelled(t, rig, other, spec);
    },
  },
];

for (const { title, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig({ nodes: 2 });
    await rig.ready();
    const holder = required(rig.holderOf(SERVICE));
    const other = required(rig.nodes.find((node) => node !== holder));
    await run(t, rig, { holder, other });
    t.deepEqual(rig.violations(), []);
  });
}
