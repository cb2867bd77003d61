import test, { type ExecutionContext } from 'ava';
import {
  BatchRig,
  fakeStoreLimits,
  required,
  StoreFault,
  type RigNode,
} from '../testing/batchRig/index.js';
import type { Clock } from '../clock/index.js';
import { CallOutcome, type CallAnswer } from './gateway.js';
import { encodeJob } from './jobCodec.js';
import { LeaseBounds, type ReleasedLeases } from './recovery.js';
import { inboxKey, progressKey } from './rows.js';
import { JobState, RefusalReason, type JobSpec } from './types.js';

const SERVICE = 'motions';

/** Maximum time for releasing services in a planned stop. */
const STOP_LIMIT_MS = 4_000;

interface Case {
  title: string;
  rig?: ConstructorParameters<typeof BatchRig>[0];
  /** Called with the holder of the service and the other nodes. */
  run: (t: ExecutionContext, rig: BatchRig, holder: RigNode, others: RigNode[]) => Promise<void>;
}

function submit(rig: BatchRig, node: RigNode, spec: JobSpec): Promise<CallAnswer> {
  return rig.settle(node.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
}

function pending(rig: BatchRig, node: RigNode): Promise<CallAnswer> {
  return rig.settle(node.node.gateway.pending(rig.queue(SERVICE)));
}

async function stateOf(rig: BatchRig, { node }: RigNode, { id }: JobSpec) {
  return (await rig.settle(node.gateway.status(rig.queue(SERVICE), id))).state;
}

function isFenced(rig: BatchRig, { name }: RigNode): boolean {
  const row = rig.store.rowsOfPart('node', '').find(({ key }) => key === name);
  return row?.value.includes('"isFenced":true') === true;
}

function claims({ logLines }: RigNode): string[] {
  return logLines
    .filter((line) => line.includes('event=service_claimed') && line.includes(`=${SERVICE} `))
    .map((line) => /epoch=\d+/.exec(line)?.[0] ?? '');
}

const takeoverCases = [false, true].map((acceptsSeveralParts): Case => {
  const store = acceptsSeveralParts ? 'accepts' : 'does not accept';
  return {
    // Guards against services without a holder on a platform whose transactions cover one part.
    title: `a service is taken over when the store ${store} rows of several parts`,
    rig: { acceptsSeveralParts },
    run: async (t, rig, holder, others) => {
      rig.fleet.script = () => ({ runMs: 9_000 });
      const spec = rig.createJob(SERVICE, [{ count: 2 }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 2);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      const isTaken = () => others.some(({ node }) => node.hasLoadedService(SERVICE));
      t.true(await rig.until(isTaken, 6_000));
      await rig.advance(10_000);
      const successor = required(others.find(({ node }) => node.hasLoadedService(SERVICE)));
      t.is(await stateOf(rig, successor, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 2);
    },
  };
});

/** When the registration of a worker that is cut off from the store is removed, after the cut. */
const registrationEndsMs = [0, 1_500, 4_000];

const cutWorkerCases: Case[] = registrationEndsMs.flatMap((registrationEndMs) =>
  [1, 4].map((count): Case => {
    return {
      // Guards against tasks that run twice: a zone is cut off with a holder and its workers, and the
      // successor treats workers that it has never reached as ended once they are not registered.
      title: `${count} tasks on a worker that is cut off with its holder, and is not registered after ${registrationEndMs} ms, run once`,
      rig: { nodes: 2, workersPerService: 2 },
      run: async (t, rig, holder, [other]) => {
        rig.fleet.script = () => ({ runMs: Infinity });
        const successor = required(other);
        const [cutOff = '', reachable = ''] = rig.fleet.executors.keys();
        rig.fleet.cuts.add(`${holder.name}>${reachable}`);
        const spec = rig.createJob(SERVICE, [{ count, isLasting: true }]);
        t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
        t.true(await rig.until(() => rig.fleet.runs().length === count));
        rig.store.faults.set(holder.name, StoreFault.DropCall);
        rig.fleet.cuts.add(`${successor.name}>${cutOff}`);
        rig.cutLink(holder.name, successor.name);
        rig.clock.setTimer(registrationEndMs, () => {
          rig.unregister(cutOff);
        });
        t.true(await rig.until(() => successor.node.hasLoadedService(SERVICE)));
        // The tasks start again once the leases of the earlier holder are certainly over.
        t.true(await rig.until(() => rig.fleet.runs().length === 2 * count, 12_000));
        await rig.advance(3_000);
        t.is(rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined).length, count);
      },
    };
  }),
);

/** Lines of a node's log that say that it lost the service. */
function losses({ logLines }: RigNode): string[] {
  return logLines.filter((line) => line.includes(`event=service_lost service=${SERVICE} `));
}

const sessionCases: Case[] = [
  {
    // Guards against accepted jobs that wait for a further takeover: an order of an earlier claim is
    // rejected as fenced, and the process gives up the claim that it has made since.
    title: 'a late answer to an order of an earlier claim does not end the current claim',
    rig: { nodes: 2, workersPerService: 2 },
    run: async (t, rig, holder, [successor]) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 2, isLasting: true }]);
      await submit(rig, holder, spec);
      await rig.until(() => rig.fleet.runs().length === 2);
      // The holder repeats the stop orders of the cancelled job.
      for (const id of rig.fleet.executors.keys()) rig.fleet.cuts.add(`${holder.name}>${id}`);
      await rig.settle(holder.node.gateway.cancel(rig.queue(SERVICE), spec.id));
      await rig.advance(300);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      t.true(await rig.until(() => successor?.node.hasLoadedService(SERVICE) === true));
      rig.store.faults.clear();
      await rig.advance(3_000);
      void successor?.node.leave(1_000);
      t.true(await rig.until(() => holder.node.hasLoadedService(SERVICE)));
      await rig.advance(2_000);
      const lossesBefore = losses(holder).length;
      rig.fleet.cuts.clear();
      await rig.advance(5_000);
      t.is(losses(holder).length, lossesBefore);
    },
  },
  {
    // Guards against accepted jobs that wait 10 s after a takeover for a worker that has left.
    title: 'the roster does not keep a worker that left while it was being added',
    rig: { nodes: 3, workersPerService: 2 },
    run: async (t, rig, holder) => {
      t.not(holder, rig.fleetServiceHolder());
      await rig.advance(2_000);
      rig.store.faults.set(holder.name, StoreFault.LoseAnswer);
      rig.addWorker('motions-9', SERVICE);
      await rig.until(() => required(rig.fleet.executors.get('motions-9')).holdCalls > 0, 3_000);
      await rig.advance(50);
      rig.requestWave({ id: '1', vms: ['motions-9'], timeLimitS: 8, maxDown: 1 });
      const isRemoved = () =>
        holder.logLines.some((line) => line.includes('event=worker_removed worker=motions-9'));
      t.true(await rig.until(isRemoved, 5_000));
      rig.store.faults.clear();
      await rig.advance(20_000);
      const roster = rig.store.rowsOfPart('roster', SERVICE).map(({ key }) => key);
      t.false(roster.includes('motions-9'));
    },
  },
  {
    // Guards against a service without a holder when the claimer fails after the fence.
    title: 'a holder that was fenced but not replaced claims its services again in a new session',
    rig: { nodes: 2 },
    run: async (t, rig, holder, others) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      // The claimer stops as soon as the fence is written.
      while (!isFenced(rig, holder)) await rig.advance(1);
      for (const other of others) other.isDead = true;
      await rig.advance(3_000);
      rig.store.faults.delete(holder.name);
      await rig.advance(3_000);
      t.true(holder.node.hasLoadedService(SERVICE));
      t.deepEqual(claims(holder), ['epoch=1', 'epoch=2']);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.advance(3_000);
      t.is(await stateOf(rig, holder, spec), JobState.Succeeded);
    },
  },
  {
    // Guards against a fence that reaches the store after the holder has renewed its session.
    title: 'a fence that is applied late has no effect on a holder that renewed its session',
    rig: { nodes: 2 },
    run: async (t, rig, holder, [other]) => {
      const { name } = required(other);
      let fencesSent = 0;
      rig.store.onTransaction = (node, { writes }) => {
        if (node !== name || !writes.some(({ key }) => key === holder.name)) return;
        fencesSent++;
        rig.store.faults.set(name, StoreFault.ApplyLate);
      };
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      t.true(await rig.until(() => fencesSent > 0, 6_000));
      // The fence is applied 2 s after it was sent; the holder renews its session in between.
      rig.store.faults.delete(holder.name);
      await rig.advance(100);
      rig.store.faults.delete(name);
      await rig.advance(6_000);
      t.is(fencesSent, 1);
      t.false(isFenced(rig, holder));
      t.deepEqual(claims(holder), ['epoch=1']);
      t.deepEqual(claims(required(other)), []);
    },
  },
  {
    // Guards against a fenced node that counts as a live one, because its row has just changed, so
    // that the others leave its remaining services to it.
    title: 'all services of a killed node are claimed within its expiry and one renewal interval',
    rig: {
      services: ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j', SERVICE],
      workersPerService: 1,
    },
    run: async (t, rig, holder) => {
      await rig.advance(1_000);
      const services = rig.queueNames().filter((name) => holder.node.hasLoadedService(name));
      t.true(services.length >= 3);
      holder.isDead = true;
      const killedAt = rig.clock.now();
      const isTaken = () => services.every((service) => rig.holderOf(service) !== undefined);
      t.true(await rig.until(isTaken, 10_000));
      const tookMs = rig.clock.now() - killedAt;
      t.true(tookMs <= 2_400 + 600, `${tookMs} ms`);
    },
  },
  {
    // Guards against a holder that acts on its authority after its session was ended meanwhile.
    title: 'a holder that was fenced drops its services with its next renewal',
    rig: { nodes: 2 },
    run: async (t, rig, holder, others) => {
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.until(() => others.some(({ node }) => node.hasLoadedService(SERVICE)));
      rig.store.delays.set(`${holder.name} owner`, 5_000);
      rig.store.faults.delete(holder.name);
      await rig.advance(2_000);
      t.true(holder.logLines.some((line) => line.includes('event=session_ended')));
      t.false(holder.node.hasLoadedService(SERVICE));
    },
  },
  {
    // Guards against taking a renewal whose answer was lost for the session of another process.
    title: 'a holder keeps its session while answers to its renewals are lost now and then',
    run: async (t, rig, holder) => {
      for (let round = 0; round < 6; round++) {
        rig.store.faults.set(holder.name, StoreFault.LoseAnswer);
        await rig.advance(650);
        rig.store.faults.delete(holder.name);
        await rig.advance(2_600);
      }
      t.deepEqual(claims(holder), ['epoch=1']);
      t.false(holder.logLines.some((line) => line.includes('event=session_ended')));
    },
  },
];

const repeatedHandOverCases: Case[] = [
  {
    // Guards against accepted jobs that wait for one hand-over after the other, for example while all
    // nodes are restarted in turn: no lease from before the first one lasts longer than 5.5 s.
    title: 'the waits of inherited jobs do not add up over several hand-overs',
    rig: { nodes: 5, workersPerService: 3 },
    run: async (t, rig, holder) => {
      await rig.advance(2_000);
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.refusesConnections = true;
      executor.crash();
      await rig.advance(500);
      await submit(rig, holder, rig.createJob(SERVICE, [{ count: 4 }, { count: 4, after: [0] }]));
      const startedAt = rig.clock.now();
      const past: RigNode[] = [];
      const current = () =>
        rig.nodes.find((node) => !past.includes(node) && node.node.hasLoadedService(SERVICE));
      for (let handOver = 0; handOver < 4; handOver++) {
        const leaving = required(current());
        past.push(leaving);
        void leaving.node.leave(2_000);
        t.true(await rig.until(() => current() !== undefined));
        if (handOver < 3) await rig.advance(3_500);
      }
      const secondStepRuns = () => rig.fleet.runs().filter(({ task }) => task.includes('.0.1.'));
      await rig.until(() => secondStepRuns().length === 4);
      t.is(secondStepRuns().length, 4);
      const starts = secondStepRuns().map((run) => run.startedAt);
      const waitedMs = Math.round(Math.max(...starts) - startedAt);
      t.true(waitedMs < 8_000, `${waitedMs} ms`);
    },
  },
];

const handOverCutCases = [5_000, 5_600, 6_200, 6_800].map((cutMs): Case => {
  return {
    // Guards against a holder that is cut off right after a hand-over and takes the leases of the
    // earlier holder as expired, although its successor has extended them.
    title: `a holder cut off for ${cutMs} ms after a hand-over starts no task that its successor adopted`,
    rig: { workersPerService: 2 },
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 1, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 1);
      await rig.advance(2_000);
      const used = rig.fleet.runs()[0]?.worker ?? '';
      const [unused = ''] = [...rig.fleet.executors.keys()].filter((id) => id !== used);
      // The node that takes over reaches only the unused worker, the others only the used one.
      for (const { name } of rig.nodes) rig.fleet.cuts.add(`${name}>${used}`);
      rig.fleet.cuts.delete(`${holder.name}>${used}`);
      void holder.node.leave(STOP_LIMIT_MS);
      const isTaken = () => rig.holderOf(SERVICE) !== undefined && rig.holderOf(SERVICE) !== holder;
      t.true(await rig.until(isTaken, 5_000));
      const cutOff = required(rig.holderOf(SERVICE));
      holder.isDead = true;
      rig.store.faults.set(cutOff.name, StoreFault.DropCall);
      for (const { name } of rig.nodes.filter((node) => node !== cutOff)) {
        rig.fleet.cuts.delete(`${name}>${used}`);
        rig.fleet.cuts.add(`${name}>${unused}`);
      }
      await rig.advance(cutMs);
      rig.store.faults.delete(cutOff.name);
      await rig.advance(4_000);
      t.is(rig.fleet.runs().length, 1);
    },
  };
});

const releaseCases: Case[] = [
  {
    // Guards against tasks that run twice: a holder that was cut off and expired extends leases for
    // some seconds, also while its successor hands the service over to a third node.
    title: 'a hand-over after an expiry waits for the leases that the expired holder extends',
    rig: { workersPerService: 2 },
    run: async (t, rig, holder, others) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 2, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 2);
      await rig.advance(1_000);
      // The holder and one worker are cut off from the store and from the other nodes.
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
      rig.fleet.cuts.add(`${holder.name}>motions-1`);
      const loaded = () => others.find(({ node }) => node.hasLoadedService(SERVICE));
      t.true(await rig.until(() => loaded() !== undefined));
      const successor = required(loaded());
      await rig.advance(100);
      void successor.node.leave(STOP_LIMIT_MS);
      const third = required(others.find((node) => node !== successor));
      t.true(await rig.until(() => third.node.hasLoadedService(SERVICE)));
      await rig.advance(12_000);
      t.is(rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined).length, 2);
    },
  },
  {
    // Guards against a hand-over between two versions that waits longer than the leases last.
    title:
      'a claim after a release without the window of earlier holders waits for the leases only',
    rig: { workersPerService: 2 },
    run: async (t, rig, holder, others) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 2, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 2);
      for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
      holder.isDead = true;
      const row = required(rig.store.rowsOfPart('owner', SERVICE)[0]);
      const owner = JSON.parse(row.value) as object;
      rig.store.put(row, JSON.stringify({ ...owner, isReleased: true }));
      t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
      const { logLines } = required(rig.holderOf(SERVICE));
      const loadedAt = rig.clock.now();
      const isReleased = () => logLines.some((line) => line.includes('inherited_jobs_released'));
      t.true(await rig.until(isReleased));
      const waitedMs = rig.clock.now() - loadedAt;
      t.true(waitedMs > 4_900 && waitedMs < 6_000, `${waitedMs} ms`);
    },
  },
];

/** Lets the current holder release the service, and waits until another node has claimed it. */
async function handOver(rig: BatchRig, past: RigNode[], waitsForLoad = true): Promise<RigNode> {
  const remaining = () => rig.nodes.filter((node) => !past.includes(node) && !node.isDead);
  const claimed = () =>
    remaining().find(({ node, logLines }) =>
      waitsForLoad
        ? node.hasLoadedService(SERVICE)
        : logLines.some((line) => line.includes(`event=service_claimed service=${SERVICE} `)),
    );
  await rig.until(() => claimed() !== undefined);
  const leaving = required(claimed());
  past.push(leaving);
  void leaving.node.leave(STOP_LIMIT_MS);
  await rig.until(() => claimed() !== undefined);
  return required(claimed());
}

interface ExpiredHolderCase {
  handOvers: number;
  spacingMs: number;
  /** Whether the nodes that hand the service over have not read its rows yet. */
  isUnloaded?: boolean;
}

const expiredHolderHandOvers: ExpiredHolderCase[] = [
  { handOvers: 2, spacingMs: 100 },
  { handOvers: 3, spacingMs: 1_000 },
  { handOvers: 4, spacingMs: 1_500 },
  { handOvers: 2, spacingMs: 300, isUnloaded: true },
];

const expiredHolderCases = expiredHolderHandOvers.map(
  ({ handOvers, spacingMs, isUnloaded = false }): Case => {
    const kind = isUnloaded ? 'unloaded' : 'loaded';
    return {
      // Guards against tasks that run twice: a holder that expired some hand-overs ago is still cut
      // off and extends leases, and no later holder has reached that worker.
      title: `${handOvers} hand-overs of ${kind} holders every ${spacingMs} ms after an expiry wait for the leases of the expired holder`,
      rig: { nodes: 7, workersPerService: 2 },
      run: async (t, rig, holder, others) => {
        rig.fleet.script = () => ({ runMs: Infinity });
        const spec = rig.createJob(SERVICE, [{ count: 2, maxPerWorker: 1, isLasting: true }]);
        t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
        await rig.until(() => rig.fleet.runs().length === 2);
        await rig.advance(1_000);
        rig.addWorker('motions-2', SERVICE);
        rig.fleet.cuts.add(`${holder.name}>motions-2`);
        rig.store.faults.set(holder.name, StoreFault.DropCall);
        for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
        rig.fleet.cuts.add(`${holder.name}>motions-1`);
        if (isUnloaded) for (const { name } of others) rig.store.delays.set(`${name} job`, 1_000);
        const past = [holder];
        for (let count = 0; count < handOvers; count++) {
          await handOver(rig, past, !isUnloaded);
          await rig.advance(spacingMs);
        }
        rig.store.delays.clear();
        await rig.advance(16_000);
        const running = rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined);
        t.is(running.length, 2);
      },
    };
  },
);

const inheritedLeaseCases: Case[] = [
  ...expiredHolderCases,
  {
    // Guards against tasks that run twice: a worker forgets the fencing token when it restarts, so
    // that it accepts the orders of an expired holder although a later one had reached it.
    title: 'a hand-over waits for leases that an expired holder granted to a restarted worker',
    rig: { nodes: 5, workersPerService: 2 },
    run: async (t, rig, holder, others) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 12, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 8);
      await rig.advance(1_000);
      for (const id of rig.fleet.executors.keys()) rig.fleet.cuts.add(`${holder.name}>${id}`);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      t.true(await rig.until(() => others.some(({ node }) => node.hasLoadedService(SERVICE))));
      await rig.advance(500);
      const executor = required(rig.fleet.executors.get('motions-0'));
      for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
      executor.crash();
      executor.restart();
      rig.register(executor);
      rig.fleet.cuts.delete(`${holder.name}>motions-0`);
      t.true(await rig.until(() => executor.running.length > 0, 4_000));
      await handOver(rig, [holder]);
      for (const id of ['motions-2', 'motions-3']) {
        rig.fleet.cuts.add(`${holder.name}>${id}`);
        rig.addWorker(id, SERVICE);
      }
      await rig.advance(14_000);
      const running = rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined);
      t.is(running.length, 12);
    },
  },
  {
    // Guards against waits that add up when nodes are stopped before they have read the service.
    title: 'the waits do not add up when the nodes that hand over have not loaded the service',
    rig: { nodes: 6, workersPerService: 3 },
    run: async (t, rig, holder) => {
      await rig.advance(2_000);
      rig.fleet.script = () => ({ runMs: 60_000 });
      required(rig.fleet.executors.get('motions-0')).crash();
      const spec = rig.createJob(SERVICE, [{ count: 12 }]);
      await submit(rig, holder, spec);
      const startedAt = rig.clock.now();
      for (const { name } of rig.nodes) rig.store.delays.set(`${name} job`, 5_000);
      const past: RigNode[] = [];
      await handOver(rig, past, false);
      for (let count = 0; count < 3; count++) {
        await rig.advance(1_500);
        if (count === 2) rig.store.delays.clear();
        await handOver(rig, past, false);
      }
      t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
      const last = required(rig.holderOf(SERVICE));
      const isReleased = () =>
        last.logLines.some((line) => line.includes('event=inherited_jobs_released'));
      t.false(past.includes(last));
      t.true(await rig.until(isReleased));
      const waitedMs = Math.round(rig.clock.now() - startedAt);
      t.true(waitedMs < 6_500, `${waitedMs} ms`);
    },
  },
  ...[StoreFault.ApplyLate, StoreFault.LoseAnswer, StoreFault.DropCall].map((fault): Case => {
    return {
      // Guards against a record of leases that a release does not write, or writes late.
      title: `a hand-over while the store has the fault ${fault} waits for the leases of the holder`,
      rig: { workersPerService: 2 },
      run: async (t, rig, holder, others) => {
        rig.fleet.script = () => ({ runMs: Infinity });
        const spec = rig.createJob(SERVICE, [{ count: 2, maxPerWorker: 1, isLasting: true }]);
        t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
        await rig.until(() => rig.fleet.runs().length === 2);
        await rig.advance(1_000);
        rig.addWorker('motions-2', SERVICE);
        for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
        await rig.advance(500);
        void holder.node.leave(STOP_LIMIT_MS);
        rig.store.faults.set(holder.name, fault);
        await rig.advance(9_000);
        rig.store.faults.clear();
        await rig.advance(10_000);
        const running = rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined);
        t.is(running.length, 2);
      },
    };
  }),
  ...['null', '5', '{}', '{"othersMs":"0"}', '{"othersMs":-1}', '{"othersMs":1e9}'].map(
    (leases): Case => {
      return {
        // Guards against a malformed row that shortens the wait or makes it last for ever.
        title: `a released row with the leases ${leases} counts as one without them`,
        rig: { workersPerService: 2 },
        run: async (t, rig, holder, others) => {
          rig.fleet.script = () => ({ runMs: Infinity });
          const spec = rig.createJob(SERVICE, [{ count: 1, isLasting: true }]);
          t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
          for (const { name } of others) rig.fleet.cuts.add(`${name}>motions-0`);
          holder.isDead = true;
          const row = required(rig.store.rowsOfPart('owner', SERVICE)[0]);
          const owner = JSON.parse(row.value) as object;
          const released = { ...owner, isReleased: true, leases: JSON.parse(leases) as unknown };
          rig.store.put(row, JSON.stringify(released));
          t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
          const { logLines } = required(rig.holderOf(SERVICE));
          const loadedAt = rig.clock.now();
          const isReleased = () =>
            logLines.some((line) => line.includes('inherited_jobs_released'));
          t.true(await rig.until(isReleased));
          const waitedMs = rig.clock.now() - loadedAt;
          t.true(waitedMs > 4_900 && waitedMs < 6_000, `${waitedMs} ms`);
        },
      };
    },
  ),
];

interface BoundsCase {
  title: string;
  inherited: ReleasedLeases;
  roster: string[];
  /** Worker ids by the time of their leases. */
  grants?: [atMs: number, id: string][];
  releaseAtMs: number;
  expected: ReleasedLeases;
}

const boundsCases: BoundsCase[] = [
  {
    title: 'of a holder that granted none keep the inherited bounds',
    inherited: { othersMs: 10_000, workers: { a: 2_000 } },
    roster: ['a', 'b'],
    releaseAtMs: 3_000,
    expected: { othersMs: 7_000, workers: { a: 0 } },
  },
  {
    title: 'of a holder that granted none and read no roster keep the inherited bounds',
    inherited: { othersMs: 5_450, workers: { a: 2_000 } },
    roster: [],
    releaseAtMs: 6_000,
    expected: { othersMs: 0, workers: {} },
  },
  {
    title: 'list the workers that were never reached',
    inherited: { othersMs: 5_450, workers: {} },
    roster: ['a', 'b'],
    grants: [[2_900, 'b']],
    releaseAtMs: 3_000,
    expected: { othersMs: 5_350, workers: { a: 2_450 } },
  },
  {
    title: 'list a worker that became silent, with its last lease',
    inherited: { othersMs: 0, workers: {} },
    roster: ['a', 'b'],
    grants: [
      [1_000, 'a'],
      [4_000, 'b'],
    ],
    releaseAtMs: 4_000,
    expected: { othersMs: 5_450, workers: { a: 2_450 } },
  },
  {
    title: 'do not fall below the inherited bound where a lease was granted',
    inherited: { othersMs: 10_000, workers: { a: 9_000 } },
    roster: ['a'],
    grants: [[1_000, 'a']],
    releaseAtMs: 2_000,
    expected: { othersMs: 8_000, workers: {} },
  },
];

for (const { title, inherited, roster, grants = [], releaseAtMs, expected } of boundsCases) {
  // Guards against a successor that starts tasks before an earlier holder's leases have expired.
  test(`the recorded leases ${title}`, (t) => {
    let now = 0;
    const clock = { now: () => now } as Clock;
    const bounds = new LeaseBounds(clock, inherited);
    for (const id of roster) bounds.addFromRoster(id);
    for (const [atMs, id] of grants) {
      now = atMs;
      t.true(bounds.grant(id, atMs + 5_100));
    }
    now = releaseAtMs;
    t.deepEqual(bounds.release(), expected);
    t.false(bounds.grant('a', now + 5_100));
  });
}

test('the recorded leases of a service with many unreached workers fit in a row', (t) => {
  let now = 0;
  const bounds = new LeaseBounds({ now: () => now } as Clock, { othersMs: 5_450, workers: {} });
  for (let index = 0; index < 2_000; index++) bounds.addFromRoster(`worker-${index}`);
  now = 2_000;
  bounds.grant('reached', now + 5_100);
  const released = bounds.release();
  t.true(JSON.stringify(released).length < fakeStoreLimits.rowBytes / 2);
});

/** How long the platform keeps the registration of an ended worker after an outage of its store. */
const REGISTRATION_AFTER_OUTAGE_MS = 3_500;
/** After an outage, a task without a run may wait this long; the platform's rules give 4 s and 3 s. */
const MAX_WAIT_AFTER_OUTAGE_MS = 7_000;

const departureCases = [true, false].map((isRegistered): Case => {
  return {
    // Guards against accepted long-running tasks that have no run for up to 10 s after an outage,
    // because the holder waits for workers whose VMs were switched off before its predecessor ended.
    title: `inherited tasks do not wait for a worker that left unseen and ${
      isRegistered ? 'is still' : 'is not'
    } registered`,
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 2, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 2);
      const used = new Set(rig.fleet.runs().map(({ worker }) => worker));
      const idle = required([...rig.fleet.executors.keys()].find((id) => !used.has(id)));
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      rig.switchOff(idle);
      for (const node of rig.nodes) node.isDead = true;
      for (const { name } of [...rig.nodes]) rig.addNode(name);
      await rig.advance(9_000);
      const running = () => rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined);
      t.is(running().length, 0);
      rig.store.faults.clear();
      if (!isRegistered) rig.unregister(idle);
      else {
        rig.clock.setTimer(REGISTRATION_AFTER_OUTAGE_MS, () => {
          rig.unregister(idle);
        });
      }
      t.true(await rig.until(() => running().length === 2, MAX_WAIT_AFTER_OUTAGE_MS));
    },
  };
});

const rejectionCases: Case[] = [
  {
    // Guards against one transaction that the store never accepts and that is sent again for ever,
    // so that nothing of the service is recorded any more.
    title: 'a job that the store never accepts is refused, and the jobs beside it are accepted',
    run: async (t, rig, holder) => {
      const specs = Array.from({ length: 9 }, () => rig.createJob(SERVICE, [{ count: 1 }]));
      const invalid = { ...rig.createJob(SERVICE, [{ count: 1 }]), id: 'f'.repeat(300) };
      specs.splice(4, 0, invalid);
      const answers = await Promise.all(specs.map((spec) => submit(rig, holder, spec)));
      for (const [index, { outcome, reason }] of answers.entries()) {
        const isInvalid = specs[index] === invalid;
        t.is(outcome, isInvalid ? CallOutcome.Refused : CallOutcome.Ok);
        if (isInvalid) t.is(reason, RefusalReason.Unstorable);
      }
      await rig.advance(5_000);
      for (const spec of specs) {
        const expected = spec === invalid ? undefined : JobState.Succeeded;
        t.is(await stateOf(rig, holder, spec), expected);
      }
      t.true(holder.logLines.some((line) => line.includes('event=journal_rejected')));
    },
  },
  {
    title: 'a job larger than a row is refused without a call to the store, from any node',
    run: async (t, rig, holder, [other]) => {
      const payload = '\u00e4'.repeat(fakeStoreLimits.rowBytes / 2);
      const spec = rig.createJob(SERVICE, [{ count: 1 }], { payload });
      const throughHolder = await submit(rig, holder, spec);
      t.is(throughHolder.reason, RefusalReason.Unstorable);
      holder.isDead = true;
      const throughStore = await submit(rig, required(other), spec);
      t.is(throughStore.reason, RefusalReason.Unstorable);
      t.is(throughStore.outcome, CallOutcome.Refused);
      t.deepEqual(rig.store.invalidCalls, []);
    },
  },
  {
    // Guards against the roster of a large service growing over the size of a row.
    title: 'jobs are recorded for a service with 600 workers',
    rig: { workersPerService: 600, nodes: 2 },
    run: async (t, rig, holder) => {
      await rig.advance(3_000);
      t.is(rig.store.rowsOfPart('roster', SERVICE).length, 600);
      const spec = rig.createJob(SERVICE, [{ count: 10 }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.advance(3_000);
      t.is(await stateOf(rig, holder, spec), JobState.Succeeded);
      t.deepEqual(rig.store.invalidCalls, []);
    },
  },
  {
    // Guards against telling a caller that a job never runs although the store may have taken it.
    title: 'a job whose write has an unreadable answer is not reported as refused',
    run: async (t, rig, holder, [other]) => {
      const node = required(other);
      holder.isDead = true;
      rig.store.faults.set(node.name, StoreFault.SpoilAnswer);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.not((await submit(rig, node, spec)).outcome, CallOutcome.Refused);
      rig.store.faults.clear();
      await rig.advance(15_000);
      t.is(await stateOf(rig, node, spec), JobState.Succeeded);
    },
  },
];

const malformedRows = ['5', 'null', '{}', '{"done":5}', '{"done":{"0.0":7},"failures":null}', 'x'];

const malformedRowCases = malformedRows.map((value): Case => {
  return {
    // Guards against a row that ends the tasks of every holder that reads it, one after the other.
    title: `a service is loaded although a progress row of it is ${value}`,
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      rig.store.put(progressKey(SERVICE, spec.id), value);
      holder.isDead = true;
      t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
      await rig.advance(1_000);
      const successor = required(rig.holderOf(SERVICE));
      t.is(await stateOf(rig, successor, spec), JobState.Running);
      t.is(successor.counters.value('child_failures', `hold ${SERVICE}`), 0);
    },
  };
});

const pendingCases: Case[] = [
  {
    // Guards against a count without the jobs that gateways wrote to the store because the holder
    // cannot reach it.
    title: 'a holder that is cut off from the store does not report a number of pending jobs',
    rig: { nodes: 3 },
    run: async (t, rig, holder, [other]) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      for (const { record } of rig.fleet.executors.values())
        rig.fleet.cuts.add(`${holder.name}>${record.id}`);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(1_000);
      for (let count = 0; count < 5; count++) {
        const spec = rig.createJob(SERVICE, [{ count: 1 }]);
        rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(spec));
      }
      // Shortly before another node takes the service over.
      await rig.advance(1_200);
      t.true(holder.node.hasLoadedService(SERVICE));
      for (const node of [holder, required(other)]) {
        const { outcome, pending: count } = await pending(rig, node);
        t.is(count, undefined);
        t.is(outcome, CallOutcome.Refused);
      }
    },
  },
  {
    title: 'a holder counts the pending jobs that gateways wrote to the store',
    run: async (t, rig, holder, [other]) => {
      for (const { record } of rig.fleet.executors.values()) {
        for (const { name } of rig.nodes) rig.fleet.cuts.add(`${name}>${record.id}`);
      }
      await rig.advance(3_000);
      for (let count = 0; count < 5; count++) {
        const spec = rig.createJob(SERVICE, [{ count: 1 }]);
        rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(spec));
      }
      await rig.advance(100);
      for (const node of [holder, required(other)]) t.is((await pending(rig, node)).pending, 5);
    },
  },
];

const silences: { ms: number; runs: number }[] = [
  { ms: 1_000, runs: 1 },
  { ms: 2_000, runs: 1 },
  { ms: 3_000, runs: 1 },
  { ms: 9_000, runs: 2 },
];

const silenceCases = silences.map(({ ms, runs }): Case => {
  return {
    // Guards against running work that is started again, or given up, because its worker was silent
    // for a while. Its lease lasts 5 s; afterwards the worker has ended it by itself.
    title: `a worker that is silent for ${ms} ms leaves ${runs} runs of a long-running task`,
    rig: { workersPerService: 2 },
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob(SERVICE, [{ count: 1, isLasting: true }]);
      t.is((await submit(rig, holder, spec)).outcome, CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 1);
      await rig.advance(2_000);
      const cut = `${holder.name}>${rig.fleet.runs()[0]?.worker ?? ''}`;
      rig.fleet.cuts.add(cut);
      await rig.advance(ms);
      rig.fleet.cuts.delete(cut);
      await rig.advance(8_000);
      t.is(rig.fleet.runs().length, runs);
      t.is(rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined).length, 1);
    },
  };
});

for (const { title, rig: options, run } of [
  ...takeoverCases,
  ...cutWorkerCases,
  ...sessionCases,
  ...repeatedHandOverCases,
  ...handOverCutCases,
  ...releaseCases,
  ...inheritedLeaseCases,
  ...departureCases,
  ...rejectionCases,
  ...malformedRowCases,
  ...pendingCases,
  ...silenceCases,
]) {
  test(title, async (t) => {
    const rig = new BatchRig(options);
    await rig.ready(options?.services);
    const holder = required(rig.holderOf(SERVICE));
    await run(
      t,
      rig,
      holder,
      rig.nodes.filter((node) => node !== holder),
    );
    t.deepEqual(rig.violations(), []);
  });
}
