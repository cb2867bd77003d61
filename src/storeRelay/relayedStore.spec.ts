import test, { type ExecutionContext } from 'ava';
import { Result } from 'true-myth';
import { Counters } from '../batch/counters.js';
import { DecisionLog } from '../batch/decisionLog.js';
import { CallOutcome } from '../batch/gateway.js';
import { LinkError, LinkErrorCode } from '../batch/links.js';
import { MonitoredStore } from '../batch/monitoredStore.js';
import { StoreError, StoreErrorCode } from '../batch/ports.js';
import { JobState, RefusalReason } from '../batch/types.js';
import { createRandom } from '../random/index.js';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import { createVirtualClock } from '../testing/virtualClock.js';
import { RelayedStore } from './relayedStore.js';
import { RelayOperation } from './types.js';

const SERVICE = 'motions';
/** Longest wait of a feed call of a node. */
const LONGEST_POLL_MS = 2_000;

interface Case {
  title: string;
  /** Whether nodes relay calls to the store; true by default. */
  relaysStore?: boolean;
  run: (t: ExecutionContext, rig: BatchRig, holder: RigNode, others: RigNode[]) => Promise<void>;
}

async function submit(rig: BatchRig, { node }: RigNode) {
  const spec = rig.createJob(SERVICE, [{ count: 2 }]);
  const answer = await rig.settle(node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
  return { ...answer, spec };
}

async function stateOf(rig: BatchRig, { node }: RigNode, id: string) {
  return (await rig.settle(node.gateway.status(rig.queue(SERVICE), id))).state;
}

const claims = ({ counters }: RigNode) => counters.value('takeovers', 'expired');
const relayed = ({ counters }: RigNode) => counters.value('relayed_calls', 'ok');

const cases: Case[] = [
  ...[StoreFault.DropCall, StoreFault.Refuse].map((fault): Case => {
    return {
      // Guards against callers who wait for a takeover of 3 s although other nodes reach the store.
      title: `a holder that the store does not serve (${fault}) keeps its service and accepts jobs`,
      run: async (t, rig, holder, others) => {
        rig.store.faults.set(holder.name, fault);
        await rig.advance(1_500);
        const { outcome, spec } = await submit(rig, required(others[0]));
        t.is(outcome, CallOutcome.Ok);
        await rig.advance(6_000);
        t.is(await stateOf(rig, holder, spec.id), JobState.Succeeded);
        t.is(rig.holderOf(SERVICE), holder);
        for (const other of others) t.is(claims(other), 0);
        t.deepEqual(rig.violations(), []);
      },
    };
  }),
  {
    // Shows what the relay changes: without it, the service is taken over.
    title: 'without the feature, another node takes the service over',
    relaysStore: false,
    run: async (t, rig, holder) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(6_000);
      t.not(rig.holderOf(SERVICE), holder);
      t.is(relayed(holder), 0);
    },
  },
  {
    // Guards against callers who are sent away by a node that could accept their jobs.
    title: 'a gateway that the store does not serve accepts jobs and stays ready',
    run: async (t, rig, _holder, others) => {
      const gateway = required(others[0]);
      rig.store.faults.set(gateway.name, StoreFault.DropCall);
      await rig.advance(2_500);
      t.is((await submit(rig, gateway)).outcome, CallOutcome.Ok);
      t.true(gateway.node.isReady);
    },
  },
  {
    // Guards against a node that relays for ever, or that flips between paths.
    title: 'the direct path is used again once the store answers',
    run: async (t, rig, holder) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(3_000);
      rig.store.faults.clear();
      await rig.advance(2_500);
      t.true(relayed(holder) > 0);
      const paths = holder.logLines.filter((line) => line.includes('event=store_path'));
      t.true(paths.at(-1)?.includes('path=direct'));
      // A long poll that a peer had begun before is counted once it is answered.
      await rig.advance(LONGEST_POLL_MS);
      const before = relayed(holder);
      await rig.advance(3_000);
      t.is(relayed(holder), before);
      const later = holder.logLines.filter((line) => line.includes('event=store_path'));
      t.is(later.length, paths.length);
    },
  },
  {
    // Guards against a holder whose pool grows without its knowledge: the registrations were followed
    // on the direct path, and 2,300 tasks waited beside idle workers.
    title: 'a holder that the store does not serve learns of new workers and configurations',
    run: async (t, rig, holder) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(1_500);
      rig.addWorker('motions-9', SERVICE);
      rig.configure({ version: 2, services: [SERVICE] });
      await rig.advance(3_000);
      const executor = required(rig.fleet.executors.get('motions-9'));
      t.true(executor.holdCalls > 0);
      t.is(holder.node.config?.version, 2);
    },
  },
  {
    // Guards against a relay that stays in use after its own path or its process has failed.
    title: 'another peer relays when the first one dies',
    run: async (t, rig, holder, others) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(1_500);
      for (const peer of others.slice(0, -1)) peer.isDead = true;
      await rig.advance(5_000);
      t.is(rig.holderOf(SERVICE), holder);
      t.is((await submit(rig, holder)).outcome, CallOutcome.Ok);
    },
  },
  {
    // Guards against relays that relay, searches without pause, and callers who wait for their timeout.
    title: 'an outage of the whole store is refused at once, with few searches',
    run: async (t, rig, holder, others) => {
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.Refuse);
      await rig.advance(2_000);
      const { outcome, reason } = await submit(rig, required(others[0]));
      t.is(outcome, CallOutcome.Refused);
      t.is(reason, RefusalReason.StoreSuspect);
      await rig.advance(3_000);
      t.true(holder.counters.value('relay_searches', 'none') <= 12);
      rig.store.faults.clear();
      await rig.advance(2_000);
      t.is((await submit(rig, required(others[0]))).outcome, CallOutcome.Ok);
    },
  },
  ...[StoreFault.LoseAnswer, StoreFault.ApplyLate].map((fault): Case => {
    return {
      // Guards against jobs that are accepted or run twice because a transaction takes both paths.
      title: `transactions that take both paths are applied once (${fault})`,
      run: async (t, rig, holder) => {
        rig.store.faults.set(holder.name, fault);
        const { spec } = await submit(rig, holder);
        await rig.advance(8_000);
        rig.store.faults.clear();
        await rig.advance(4_000);
        t.is(await stateOf(rig, required(rig.holderOf(SERVICE)), spec.id), JobState.Succeeded);
        t.is(rig.fleet.runs().length, 2);
        t.deepEqual(rig.violations(), []);
      },
    };
  }),
  {
    // Guards against a holder that acts on a claim that it lost while it was partitioned.
    title: 'a holder without any path to the store or to peers is replaced as before',
    run: async (t, rig, holder, others) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      for (const { name } of others) rig.cutLink(holder.name, name);
      await rig.advance(6_000);
      t.not(rig.holderOf(SERVICE), holder);
      t.deepEqual(rig.violations(), []);
    },
  },
];

for (const { title, relaysStore = true, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig({ nodes: 5, features: { relaysStore } });
    await rig.ready();
    await rig.advance(1_500);
    const holder = required(rig.holderOf(SERVICE));
    const others = rig.nodes.filter((node) => node !== holder);
    await run(t, rig, holder, others);
  });
}

interface BothPathsCase {
  /** How the transaction fails on the node's own path. */
  direct: StoreErrorCode;
  /** How the call through a peer fails. */
  relayed: LinkErrorCode;
  expected: StoreErrorCode;
}

const bothPathsCases: BothPathsCase[] = [
  {
    direct: StoreErrorCode.Refused,
    relayed: LinkErrorCode.NoAnswer,
    expected: StoreErrorCode.NoAnswer,
  },
  {
    direct: StoreErrorCode.NoAnswer,
    relayed: LinkErrorCode.NotSent,
    expected: StoreErrorCode.NoAnswer,
  },
  {
    direct: StoreErrorCode.Refused,
    relayed: LinkErrorCode.NotSent,
    expected: StoreErrorCode.Refused,
  },
];

for (const { direct, relayed, expected } of bothPathsCases) {
  // Guards against telling a caller that a job never runs although the peer may have written it.
  test(`a transaction that is ${direct} directly and ${relayed} through a peer is ${expected}`, async (t) => {
    const clock = createVirtualClock();
    const unused = () => Promise.reject(new Error('the test makes no such call'));
    const store = new MonitoredStore(
      {
        limits: { rowBytes: 1, operations: 1, transactionBytes: 1 },
        transact: async () => {
          await clock.sleep(1_000);
          return Result.err(new StoreError(direct, 'the direct path failed'));
        },
        readRow: () => Promise.resolve(Result.ok(undefined)),
        readPart: unused,
        feed: unused,
      },
      clock,
    );
    const relayedStore = new RelayedStore({
      direct: store,
      transport: {
        address: 'node-0',
        listen: unused,
        call: (_address, body) => {
          const isCheck = (body as { relay: unknown }).relay === RelayOperation.Check;
          if (isCheck) return Promise.resolve(Result.ok({ isReachable: true }));
          return Promise.resolve(Result.err(new LinkError(relayed, 'the peer failed')));
        },
      },
      peers: () => ['node-1'],
      clock,
      random: createRandom(1),
      log: new DecisionLog({ write: () => true }, clock),
      counters: new Counters(),
    });
    await store.readRow({ table: 't', part: '', key: 'k' });
    await clock.advance(300);
    const tx = { conditions: [], writes: [], removes: [] };
    // A pending call makes the store suspect while the next one is on its way.
    void relayedStore.transact(tx);
    await clock.advance(100);
    const res = relayedStore.transact(tx);
    await clock.advance(3_000);
    const settled = await res;
    t.is(settled.isErr ? settled.error.code : undefined, expected);
  });
}
