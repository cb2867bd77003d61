import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from './gateway.js';
import { encodeJob } from './jobCodec.js';
import { inboxKey } from './rows.js';
import { JobState, RunEnd, type JobSpec } from './types.js';

type Test = ExecutionContext;

function liveNode(rig: BatchRig, index = 0): RigNode {
  const live = rig.nodes.filter(({ isDead }) => !isDead);
  return required(live[index % live.length]);
}

async function submit(rig: BatchRig, spec: JobSpec, node = liveNode(rig)): Promise<CallOutcome> {
  const answer = node.node.gateway.submit(rig.queue(spec.queue), spec, 3_000);
  return (await rig.settle(answer)).outcome;
}

async function stateOf(rig: BatchRig, spec: JobSpec, node = liveNode(rig)) {
  const answer = await rig.settle(node.node.gateway.status(rig.queue(spec.queue), spec.id));
  return answer.state;
}

async function waitForEnd(
  rig: BatchRig,
  spec: JobSpec,
  limitMs = 30_000,
): Promise<JobState | undefined> {
  const endsAt = rig.clock.now() + limitMs;
  let state = await stateOf(rig, spec);
  while ((state === JobState.Queued || state === JobState.Running) && rig.clock.now() < endsAt) {
    await rig.advance(200);
    state = await stateOf(rig, spec);
  }
  return state;
}

/** Maximum time for releasing services in a planned stop. */
const STOP_LIMIT_MS = 4_000;

interface Case {
  title: string;
  rig?: ConstructorParameters<typeof BatchRig>[0];
  run: (t: Test, rig: BatchRig) => Promise<void>;
}

function replacedHolderCase(extraMs: number): Case {
  return {
    // Guards against a holder that is reconnected to the store and treats the renewal of its node
    // row as proof that it still holds its services.
    title: `a holder cut off for 9 s and ${extraMs} ms starts no runs before it sees its successor`,
    rig: { nodes: 2, workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const spec = rig.createJob('motions', [{ count: 1, isLasting: true }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 1);
      const previous = rig.holderOf('motions');
      const successor = rig.nodes.find((node) => node !== previous);
      if (!previous || !successor) return;
      const usedWorker = rig.fleet.runs()[0]?.worker ?? '';
      const [unusedWorker = ''] = [...rig.fleet.executors.keys()].filter((id) => id !== usedWorker);
      rig.store.faults.set(previous.name, StoreFault.DropCall);
      rig.fleet.cuts.add(`${previous.name}>${usedWorker}`);
      rig.fleet.cuts.add(`${successor.name}>${unusedWorker}`);
      t.true(await rig.until(() => successor.node.hasLoadedService('motions')));
      await rig.advance(9_000 + extraMs);
      rig.store.faults.delete(previous.name);
      await rig.advance(5_000);
      t.is(rig.fleet.runs().length, 1);
    },
  };
}

/** How the feed reports the inbox row and its removal to the replaced holder. */
enum InboxFeedOrder {
  /** One answer contains the row and its removal. */
  RemovalInSameAnswer = 'together with its removal',
  /** The removal is in a later answer. */
  RemovalInLaterAnswer = 'before its removal',
}

// Guards against a holder that is reconnected to the store and starts a job from the inbox that its
// successor has already taken and completed.
function staleInboxCase(feedOrder: InboxFeedOrder, cutMs: number): Case {
  return {
    title: `a holder cut off for ${cutMs} ms starts no inbox job that it reads ${feedOrder}`,
    rig: { nodes: 2, workersPerService: 2 },
    run: async (t, rig) => {
      await rig.until(() => rig.holderOf('motions') !== undefined);
      const previous = required(rig.holderOf('motions'));
      const successor = required(rig.nodes.find((node) => node !== previous));
      const [firstWorker = '', secondWorker = ''] = rig.fleet.executors.keys();
      await rig.advance(2_000);
      rig.store.faults.set(previous.name, StoreFault.DropCall);
      // Each holder reaches only one worker, so that no worker fences the previous holder.
      rig.fleet.cuts.add(`${successor.name}>${firstWorker}`);
      rig.fleet.cuts.add(`${previous.name}>${secondWorker}`);
      rig.store.delays.set(`${previous.name} owner`, 300);
      const endOfCut = rig.clock.now() + cutMs;
      t.true(await rig.until(() => successor.node.hasLoadedService('motions')));
      rig.fleet.script = () => ({
        runMs: feedOrder === InboxFeedOrder.RemovalInSameAnswer ? 100 : 4_000,
      });
      const spec = rig.createJob('motions', [{ count: 1 }]);
      rig.store.put(inboxKey('motions', spec.id), encodeJob(spec));
      await rig.until(() => rig.fleet.runs().length === 1);
      await rig.advance(Math.max(0, endOfCut - rig.clock.now()));
      rig.store.faults.delete(previous.name);
      t.is(await waitForEnd(rig, spec, 10_000), JobState.Succeeded);
      await rig.advance(2_000);
      t.is(rig.fleet.runs().length, 1);
    },
  };
}

// Guards against a new holder that does not know of a stop in progress and stops a second task.
function stopInProgressCase(requestAfterMs: number): Case {
  return {
    title: `a wave requested ${requestAfterMs} ms after the holder is cut off respects the disruption budget`,
    rig: { services: ['motions'], workersPerService: 3, nodes: 4 },
    run: async (t, rig) => {
      rig.fleet.stopMs = 900;
      rig.fleet.script = () => ({ runMs: Infinity });
      const step = { count: 4, isLasting: true, maxPerWorker: 2, maxAway: 1 };
      await submit(rig, rig.createJob('motions', [step]));
      await rig.until(() => rig.fleet.runs().length === 4);
      const sharedWorkers = [...rig.fleet.executors.values()].filter(
        ({ running }) => running.length === 2,
      );
      await rig.advance(1_000);
      const holder = required(rig.holderOf('motions'));
      t.not(holder, rig.fleetServiceHolder());
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      await rig.advance(requestAfterMs);
      const vms = sharedWorkers.map(({ record }) => record.id);
      rig.requestWave({ id: '1', vms, timeLimitS: 8, maxDown: 1 });
      await rig.advance(8_000);
      t.deepEqual(rig.maxAwayViolations(), []);
    },
  };
}

const cases: Case[] = [
  {
    // Guards against a holder that takes orders for unanswered because it sends more than it can at a
    // peak, and then stops the tasks that its workers have started. Pattern: a burst of tasks beyond
    // the capacity of the holder's VM, on a pool with room for all.
    title: 'at a peak beyond the capacity of the holder, no started task is stopped',
    rig: { workersPerService: 100 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 800 });
      rig.fleet.orderSendMs = 2;
      const jobs = Array.from({ length: 40 }, () => rig.createJob('motions', [{ count: 25 }]));
      await Promise.all(jobs.map((spec) => submit(rig, spec)));
      await rig.advance(12_000);
      t.is(rig.fleet.runs().filter(({ end }) => end !== RunEnd.Done).length, 0);
      t.is(rig.fleet.runs().length, 1_000);
    },
  },
  {
    title: 'a job with two dependent steps runs them in order and succeeds',
    run: async (t, rig) => {
      const spec = rig.createJob('motions', [{ count: 4 }, { count: 2, after: [0] }]);
      t.is(await submit(rig, spec), CallOutcome.Ok);
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      const runs = rig.fleet.runs();
      const firstEnd = Math.max(
        ...runs.filter(({ task }) => task.includes('.0.0.')).map(({ endedAt = 0 }) => endedAt),
      );
      const second = runs.filter(({ task }) => task.includes('.0.1.'));
      t.is(second.length, 2);
      t.true(second.every(({ startedAt }) => startedAt >= firstEnd));
    },
  },
  {
    title: 'a job submitted twice through two nodes runs once',
    run: async (t, rig) => {
      const spec = rig.createJob('motions', [{ count: 2 }]);
      const queue = rig.queue('motions');
      const first = liveNode(rig, 0).node.gateway.submit(queue, spec, 3_000);
      const second = liveNode(rig, 1).node.gateway.submit(queue, spec, 3_000);
      t.is((await rig.settle(first)).outcome, CallOutcome.Ok);
      t.is((await rig.settle(second)).outcome, CallOutcome.Ok);
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(await submit(rig, spec, liveNode(rig, 2)), CallOutcome.Ok);
      await rig.advance(2_000);
      t.is(rig.fleet.runs().length, 2);
    },
  },
  {
    title: 'a task that always fails makes its job fail after the maximum number of attempts',
    rig: { maxAttempts: 3 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 100, end: RunEnd.Failed });
      const spec = rig.createJob('motions', [{ count: 1 }]);
      await submit(rig, spec);
      t.is(await waitForEnd(rig, spec), JobState.Failed);
      t.is(rig.fleet.runs().length, 3);
    },
  },
  {
    title: 'cancelling a job stops its runs and starts no new ones',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob('motions', [{ count: 2 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 2);
      const answer = liveNode(rig, 1).node.gateway.cancel(rig.queue('motions'), spec.id);
      t.is((await rig.settle(answer)).outcome, CallOutcome.Ok);
      await rig.advance(500);
      t.true(rig.fleet.runs().every(({ end }) => end === RunEnd.Stopped));
      t.is(await stateOf(rig, spec), JobState.Cancelled);
      await rig.advance(3_000);
      t.is(rig.fleet.runs().length, 2);
    },
  },
  {
    // Guards against every node reading the registrations of all workers, and against a new holder
    // that treats workers as gone because it has not read their registrations yet.
    title: 'only holders read the worker registrations',
    rig: { nodes: 3 },
    run: async (t, rig) => {
      await rig.until(() => rig.holderOf('motions') !== undefined);
      const holder = required(rig.holderOf('motions'));
      await rig.advance(5_000);
      const readers = rig.nodes.filter(({ name }) => rig.store.tableReads.has(`${name} registry`));
      t.deepEqual(readers, [holder]);
      rig.fleet.script = () => ({ runMs: 8_000 });
      const spec = rig.createJob('motions', [{ count: 3 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      holder.isDead = true;
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 3);
    },
  },
  {
    title: 'a job survives the failure of its holder without restarting its tasks',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 8_000 });
      const spec = rig.createJob('motions', [{ count: 3 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      const holder = rig.holderOf('motions');
      if (holder) holder.isDead = true;
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 3);
    },
  },
  {
    // Guards against a second run while the first one continues on a worker that the new holder
    // reached once and then lost: the lease granted by the earlier holder is still valid there.
    title: 'an adopted run is not replaced before the lease of the earlier holder has expired',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      const spec = rig.createJob('motions', [{ count: 1, isLasting: true }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 1);
      await rig.advance(3_000);
      const holder = rig.holderOf('motions');
      if (holder) holder.isDead = true;
      const isAdopted = () => {
        const successor = rig.holderOf('motions');
        return successor !== undefined && successor.counters.value('runs_adopted', 'takeover') > 0;
      };
      t.true(await rig.until(isAdopted));
      const worker = rig.fleet.runs()[0]?.worker ?? '';
      rig.fleet.cuts.add(`${rig.holderOf('motions')?.name ?? ''}>${worker}`);
      await rig.advance(12_000);
      t.true(rig.fleet.runs().length > 1);
    },
  },
  {
    title:
      'after a takeover, a task on an unreachable worker restarts once it can no longer run there',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      const spec = rig.createJob('motions', [{ count: 2, isLasting: true }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 2);
      await rig.advance(2_000);
      const [run] = rig.fleet.runs();
      const holder = rig.holderOf('motions');
      for (const { name } of rig.nodes) {
        if (name !== holder?.name) rig.fleet.cuts.add(`${name}>${run?.worker ?? ''}`);
      }
      if (holder) holder.isDead = true;
      await rig.advance(20_000);
      t.true(rig.fleet.runs().length > 2);
    },
  },
  {
    // Guards against counting failed runs by the highest run number, although workers list runs
    // in any order.
    title: 'failed runs that the earlier holder could not record are counted by its successor',
    rig: { maxAttempts: 4, workersPerService: 2 },
    run: async (t, rig) => {
      const spec = rig.createJob('motions', [{ count: 1 }]);
      rig.fleet.script = () => ({ runMs: 150, end: RunEnd.Failed });
      const holder = required(rig.holderOf('motions'));
      await submit(rig, spec);
      rig.store.faults.set(holder.name, StoreFault.Refuse);
      await rig.until(() => rig.fleet.runs().filter(({ end }) => end).length === 4, 2_000);
      holder.isDead = true;
      t.true(await rig.until(() => rig.holderOf('motions') !== undefined));
      await rig.advance(2_000);
      t.is(await stateOf(rig, spec), JobState.Failed);
      t.is(rig.fleet.runs().length, 4);
    },
  },
  {
    // Guards against accepted jobs that stall while the store is unavailable for some seconds.
    title: 'tasks of accepted jobs keep starting while the store does not answer for 4.5 s',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 1_000 });
      // Four tasks fit on the worker at a time.
      const spec = rig.createJob('motions', [{ count: 24 }]);
      await submit(rig, spec);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(4_500);
      t.true(rig.fleet.runs().length >= 16, `${rig.fleet.runs().length} started`);
      rig.store.faults.clear();
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 24);
    },
  },
  {
    title: 'a caller is refused at once while the store is known to be unavailable',
    run: async (t, rig) => {
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(2_000);
      const startedAt = rig.clock.now();
      const spec = rig.createJob('motions', [{ count: 1 }]);
      const answer = liveNode(rig, 1).node.gateway.submit(rig.queue('motions'), spec, 3_000);
      t.is((await rig.settle(answer)).outcome, CallOutcome.Refused);
      t.true(rig.clock.now() - startedAt < 100);
      rig.store.faults.clear();
      await rig.advance(2_000);
      t.is(await submit(rig, spec), CallOutcome.Ok);
    },
  },
  {
    // Guards against a node in a cut-off zone that stays in the load balancer's rotation without
    // answering its callers.
    title: 'a node cut off from the store and the holder becomes unready and refuses at once',
    run: async (t, rig) => {
      const holder = required(rig.holderOf('motions'));
      const other = required(rig.nodes.find((node) => node !== holder));
      rig.store.faults.set(other.name, StoreFault.DropCall);
      rig.cutLink(other.name, holder.name);
      await rig.advance(1_300);
      t.false(other.node.isReady);
      const startedAt = rig.clock.now();
      const spec = rig.createJob('motions', [{ count: 1 }]);
      t.is(await submit(rig, spec, other), CallOutcome.Refused);
      t.true(rig.clock.now() - startedAt < 100);
      rig.store.faults.clear();
      await rig.advance(1_500);
      t.true(other.node.isReady);
    },
  },
  {
    // Guards against refusals because of single lost answers.
    title: 'a node stays ready while answers of the store are lost intermittently',
    run: async (t, rig) => {
      const node = liveNode(rig);
      for (let round = 0; round < 10; round++) {
        rig.store.faults.set(node.name, StoreFault.LoseAnswer);
        await rig.advance(100);
        rig.store.faults.delete(node.name);
        await rig.advance(300);
        t.true(node.node.isReady);
      }
    },
  },
  ...[0, 300, 600, 900, 1_200, 1_500].map(replacedHolderCase),
  ...Object.values(InboxFeedOrder).flatMap((feedOrder) =>
    [4_000, 4_300, 4_600, 4_900, 5_200, 5_500].map((cutMs) => staleInboxCase(feedOrder, cutMs)),
  ),
  ...[1_800, 2_200, 2_600, 3_000].map(stopInProgressCase),
  {
    title: 'an order that is carried out late causes no second run',
    run: async (t, rig) => {
      const [slowExecutor] = [...rig.fleet.executors.values()];
      if (slowExecutor) slowExecutor.unansweredDelayMs = 3_000;
      const spec = rig.createJob('motions', [{ count: 6 }]);
      await submit(rig, spec);
      await rig.advance(4_000);
      if (slowExecutor) slowExecutor.unansweredDelayMs = 0;
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'the tasks of a crashed worker are restarted on other workers',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 3_000 });
      const spec = rig.createJob('motions', [{ count: 3 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      rig.fleet.executors.get(rig.fleet.runs()[0]?.worker ?? '')?.crash();
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'the tasks of a worker that restarts with the same id and loses its runs are restarted',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 3_000 });
      const spec = rig.createJob('motions', [{ count: 3 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      const worker = rig.fleet.executors.get(rig.fleet.runs()[0]?.worker ?? '');
      worker?.crash();
      worker?.restart();
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a transaction without an answer is applied exactly once',
    run: async (t, rig) => {
      const holder = rig.holderOf('motions')?.name ?? '';
      rig.store.faults.set(holder, StoreFault.LoseAnswer);
      const spec = rig.createJob('motions', [{ count: 2 }]);
      const answer = liveNode(rig).node.gateway.submit(rig.queue('motions'), spec, 3_000);
      await rig.advance(1_300);
      rig.store.faults.delete(holder);
      t.is((await rig.settle(answer)).outcome, CallOutcome.Ok);
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 2);
    },
  },
  {
    title: 'transactions that are applied late do not undo newer ones',
    run: async (t, rig) => {
      const holder = rig.holderOf('motions')?.name ?? '';
      const spec = rig.createJob('motions', [{ count: 2 }, { count: 2, after: [0] }]);
      await submit(rig, spec);
      rig.store.faults.set(holder, StoreFault.ApplyLate);
      await rig.advance(1_000);
      rig.store.faults.delete(holder);
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      await rig.advance(5_000);
      t.is(await stateOf(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a job submitted to a node that cannot reach the holder is accepted through the store',
    run: async (t, rig) => {
      const holder = rig.holderOf('motions');
      const other = rig.nodes.find((node) => node !== holder);
      if (!holder || !other) return;
      rig.cutLink(other.name, holder.name);
      const spec = rig.createJob('motions', [{ count: 2 }]);
      t.is(await submit(rig, spec, other), CallOutcome.Ok);
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a cancellation through the store stops the runs of the job',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const holder = rig.holderOf('motions');
      const other = rig.nodes.find((node) => node !== holder);
      if (!holder || !other) return;
      const spec = rig.createJob('motions', [{ count: 1 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 1);
      rig.cutLink(other.name, holder.name);
      const answer = other.node.gateway.cancel(rig.queue('motions'), spec.id);
      t.is((await rig.settle(answer)).outcome, CallOutcome.Ok);
      await rig.advance(1_000);
      t.is(rig.fleet.runs()[0]?.end, RunEnd.Stopped);
    },
  },
  {
    title: 'a job that was not accepted is not found',
    run: async (t, rig) => {
      const spec = rig.createJob('motions', [{ count: 1 }]);
      const queue = rig.queue('motions');
      const answer = await rig.settle(liveNode(rig).node.gateway.status(queue, spec.id));
      t.is(answer.outcome, CallOutcome.NotFound);
    },
  },
  {
    title: 'a planned stop hands over the services without restarting running tasks',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 6_000 });
      const spec = rig.createJob('motions', [{ count: 3 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      const holder = rig.holderOf('motions');
      await rig.settle(holder?.node.leave(STOP_LIMIT_MS) ?? Promise.resolve());
      t.true(await rig.until(() => rig.holderOf('motions') !== undefined, 3_000));
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 3);
    },
  },
  {
    // Guards against services that have no holder until the store recovers, because their holders
    // stopped during the outage and could not release them.
    title:
      'a planned stop while the store is unavailable keeps the services until they can be released',
    rig: { nodes: 2, workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 1_000 });
      const spec = rig.createJob('motions', [{ count: 24, cpuMillis: 2_000 }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length >= 4);
      const holder = required(rig.holderOf('motions'));
      const successor = required(rig.nodes.find((node) => node !== holder));
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(500);
      const leaving = holder.node.leave(STOP_LIMIT_MS);
      const startedBefore = rig.fleet.runs().length;
      await rig.advance(2_000);
      t.true(rig.fleet.runs().length > startedBefore, 'no run starts during the outage');
      rig.store.faults.clear();
      await rig.settle(leaving);
      t.true(await rig.until(() => successor.node.hasLoadedService('motions'), 1_000));
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 24);
    },
  },
  {
    title: 'a planned stop ends in time when the store stays unavailable',
    run: async (t, rig) => {
      const holder = required(rig.holderOf('motions') ?? rig.nodes[0]);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      const startedAt = rig.clock.now();
      await rig.settle(holder.node.leave(STOP_LIMIT_MS));
      t.true(rig.clock.now() - startedAt < STOP_LIMIT_MS + 3_000);
    },
  },
  {
    title:
      'a wave takes every VM down once, within its limit of VMs down, and is reported as finished',
    rig: { services: ['motions'], workersPerService: 6 },
    run: async (t, rig) => {
      const vms = [...rig.fleet.executors.keys()];
      rig.requestWave({ id: '1', vms, timeLimitS: 25, maxDown: 2 });
      t.true(await rig.until(() => rig.isFinished('1'), 25_000));
      t.is(rig.maxDown, 2);
      t.true(vms.every((vm) => rig.fleet.executors.get(vm)?.isUp === false));
    },
  },
  {
    // Guards against a wave that is reported as finished before the maintenance of a VM whose entry in
    // the vendor's list cannot be decoded.
    title: 'a wave waits for a VM whose entry in the VM list cannot be decoded',
    rig: { services: ['motions'], workersPerService: 3 },
    run: async (t, rig) => {
      const vms = [...rig.fleet.executors.keys()];
      rig.unreadableVms.add('motions-1');
      rig.requestWave({ id: '1', vms, timeLimitS: 25, maxDown: 2 });
      await rig.advance(10_000);
      t.false(rig.isFinished('1'));
      rig.unreadableVms.clear();
      t.true(await rig.until(() => rig.isFinished('1'), 10_000));
      t.true(vms.every((vm) => rig.fleet.executors.get(vm)?.isUp === false));
    },
  },
  {
    // Guards against taking down two VMs with tasks of one step, each found ready on its own.
    title: 'a wave respects the disruption budget of a long-running step',
    rig: { services: ['motions'], workersPerService: 5 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const step = { count: 4, isLasting: true, maxPerWorker: 1, maxAway: 1 };
      await submit(rig, rig.createJob('motions', [step]));
      await rig.until(() => rig.fleet.runs().length === 4);
      await rig.advance(1_000);
      const vms = [...rig.fleet.executors.keys()];
      rig.requestWave({ id: '1', vms, timeLimitS: 60, maxDown: 4 });
      t.true(await rig.until(() => rig.isFinished('1'), 60_000));
    },
  },
  {
    // Guards against ending two tasks of one step together with the worker that they share.
    title: 'a wave respects the disruption budget of a step when two of its tasks share a worker',
    rig: { services: ['motions'], workersPerService: 3 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      // Two tasks fill a worker, so that no task can be moved to another worker first.
      const step = { count: 6, isLasting: true, maxAway: 1, cpuMillis: 2_000 };
      await submit(rig, rig.createJob('motions', [step]));
      await rig.until(() => rig.fleet.runs().length === 6);
      await rig.advance(1_000);
      const vms = [...rig.fleet.executors.keys()];
      rig.requestWave({ id: '1', vms, timeLimitS: 10, maxDown: 3 });
      await rig.advance(15_000);
      t.false(rig.isFinished('1'));
    },
  },
  {
    // Guards against a new holder that treats a worker as empty before it has listed its runs.
    title: 'a wave waits until a new holder knows the runs on the workers',
    rig: { services: ['motions'], workersPerService: 3 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const step = { count: 3, isLasting: true, maxPerWorker: 1, maxAway: 1 };
      await submit(rig, rig.createJob('motions', [step]));
      await rig.until(() => rig.fleet.runs().length === 3);
      await rig.advance(1_000);
      const holder = required(rig.holderOf('motions'));
      const workers = [...rig.fleet.executors.keys()];
      for (const { name } of rig.nodes) {
        for (const worker of workers)
          if (name !== holder.name) rig.fleet.cuts.add(`${name}>${worker}`);
      }
      holder.isDead = true;
      await rig.until(() => rig.holderOf('motions') !== undefined);
      rig.requestWave({ id: '1', vms: workers, timeLimitS: 20, maxDown: 3 });
      await rig.advance(1_500);
      rig.fleet.cuts.clear();
      await rig.advance(1_000);
      t.pass();
    },
  },
  {
    // Guards against a new holder that counts only the VMs that it took down itself.
    title: 'a wave respects its limit of VMs down when the holder of the fleet service changes',
    rig: { services: ['motions'], workersPerService: 8 },
    run: async (t, rig) => {
      const vms = [...rig.fleet.executors.keys()];
      rig.maintenanceMs = 9_000;
      rig.requestWave({ id: '1', vms, timeLimitS: 60, maxDown: 2 });
      await rig.until(() => rig.maxDown === 2);
      const firstHolder = rig.fleetServiceHolder();
      if (firstHolder) firstHolder.isDead = true;
      t.true(await rig.until(() => rig.isFinished('1'), 90_000));
      t.is(rig.maxDown, 2);
    },
  },
  {
    // Guards against a claim that is recorded twice, from its answer and from the feed, and against
    // orders from a supervised task that was ended while it waited.
    title:
      'a claim is recorded once, and no VM order is sent right after the previous holder expired',
    rig: { services: ['motions'], workersPerService: 4 },
    run: async (t, rig) => {
      const firstHolder = required(rig.fleetServiceHolder());
      firstHolder.isDead = true;
      rig.requestWave({
        id: '1',
        vms: [...rig.fleet.executors.keys()],
        timeLimitS: 20,
        maxDown: 1,
      });
      t.true(await rig.until(() => rig.isFinished('1'), 40_000));
      const claims = rig.nodes
        .flatMap(({ logLines }) =>
          logLines.filter((line) => line.includes('event=service_claimed')),
        )
        .map((line) => /service=\S+ epoch=\d+/.exec(line)?.[0]);
      t.deepEqual(claims, [...new Set(claims)]);
      const lines = required(rig.fleetServiceHolder()).logLines;
      const timeOf = (part: string) =>
        Date.parse(required(lines.find((line) => line.includes(part))).slice(5, 29));
      t.true(timeOf('event=upkeep_order') - timeOf('service=@fleet') >= 700);
    },
  },
  {
    // Guards against orders that go out twice because the holder of the fleet service is stopped
    // while they are in progress.
    title: 'a planned stop of the holder of the fleet service repeats no order to the vendor',
    rig: { workersPerService: 4 },
    run: async (t, rig) => {
      rig.vendorDelayMs = 400;
      const vms = ['motions-0', 'motions-1', 'motions-2'];
      rig.requestWave({ id: '1', vms, timeLimitS: 20, maxDown: 2 });
      await rig.until(() => rig.maintenanceOrders.length > 0);
      await rig.settle(required(rig.fleetServiceHolder()).node.leave(STOP_LIMIT_MS));
      t.true(await rig.until(() => rig.isFinished('1')));
      t.deepEqual(
        [...rig.maintenanceOrders].sort(),
        vms.map((vm) => `1/${vm}`),
      );
    },
  },
  {
    // Guards against a wave that ends late because each new holder grants it the whole time again.
    title: 'the time limit of a wave goes on when the holder of the fleet service changes',
    run: async (t, rig) => {
      rig.maintenanceMs = 20_000;
      rig.requestWave({ id: '1', vms: ['motions-0'], timeLimitS: 30, maxDown: 1 });
      await rig.until(() => rig.maxDown === 1);
      const opened = rig.clock.now();
      required(rig.fleetServiceHolder()).isDead = true;
      t.true(await rig.until(() => rig.fleetServiceHolder() !== undefined));
      const { logLines } = required(rig.fleetServiceHolder());
      const openLine = () => logLines.find((line) => line.includes('event=wave_open'));
      t.true(await rig.until(() => openLine() !== undefined));
      const elapsedMs = Number(/elapsed_ms=(\d+)/.exec(required(openLine()))?.[1]);
      const expectedMs = rig.clock.now() - opened;
      t.true(Math.abs(elapsedMs - expectedMs) < 300, `${elapsedMs} ms, expected ${expectedMs} ms`);
    },
  },
  {
    // Guards against a wave that ends late because it was requested while the service had no holder.
    title: 'the time limit of a wave counts from its request when there is no holder',
    run: async (t, rig) => {
      required(rig.fleetServiceHolder()).isDead = true;
      await rig.advance(200);
      rig.requestWave({ id: '1', vms: ['motions-0'], timeLimitS: 30, maxDown: 1 });
      const requestedAt = rig.clock.now();
      t.true(await rig.until(() => rig.fleetServiceHolder() !== undefined));
      const { logLines } = required(rig.fleetServiceHolder());
      const openLine = () => logLines.find((line) => line.includes('event=wave_open'));
      t.true(await rig.until(() => openLine() !== undefined));
      const elapsedMs = Number(/elapsed_ms=(\d+)/.exec(required(openLine()))?.[1]);
      const expectedMs = rig.clock.now() - requestedAt;
      t.true(expectedMs > 2_000 && expectedMs - elapsedMs < 300, `${elapsedMs}, ${expectedMs}`);
    },
  },
  {
    // Guards against a new holder that waits for workers that ended before the takeover.
    title: 'a new holder does not wait for workers that were ended by planned work',
    run: async (t, rig) => {
      rig.maintenanceMs = 60_000;
      rig.requestWave({ id: '1', vms: ['motions-0'], timeLimitS: 20, maxDown: 1 });
      await rig.until(() => rig.maxDown === 1);
      await rig.advance(2_000);
      rig.fleet.script = () => ({ runMs: 2_000 });
      const spec = rig.createJob('motions', [{ count: 3 }, { count: 2, after: [0] }]);
      await submit(rig, spec);
      await rig.until(() => rig.fleet.runs().length === 3);
      required(rig.holderOf('motions')).isDead = true;
      t.true(await rig.until(() => rig.holderOf('motions') !== undefined));
      await rig.advance(700);
      t.is(rig.fleet.runs().length, 5);
    },
  },
  {
    // Guards against refusing a job, and thus reporting that it never runs, after accepting it.
    title: 'a job submitted again while the store is unavailable is reported as accepted',
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 8_000 });
      const spec = rig.createJob('motions', [{ count: 1 }]);
      await submit(rig, spec);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(2_000);
      for (const node of rig.nodes) t.is(await submit(rig, spec, node), CallOutcome.Ok);
      rig.store.faults.clear();
      t.is(await waitForEnd(rig, spec), JobState.Succeeded);
    },
  },
  {
    title: 'a burst of submitted jobs is written in few transactions',
    run: async (t, rig) => {
      const { transact: callsBefore } = rig.store.calls;
      const specs = Array.from({ length: 60 }, () => rig.createJob('motions', [{ count: 1 }]));
      const outcomes = await Promise.all(specs.map((spec) => submit(rig, spec)));
      t.true(outcomes.every((outcome) => outcome === CallOutcome.Ok));
      t.true(
        rig.store.calls.transact - callsBefore < 20,
        `${rig.store.calls.transact - callsBefore} calls`,
      );
    },
  },
];

for (const { title, rig: options, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig(options);
    await rig.ready(options?.services);
    await run(t, rig);
    t.deepEqual(rig.violations(), []);
  });
}
