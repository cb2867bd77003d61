import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, StoreFault, type FakeExecutor } from '../testing/batchRig/index.js';
import { NodeCallKind } from './nodeCalls.js';
import { OrderAnswer } from './ports.js';
import type { StepSpec } from './types.js';

interface Case {
  title: string;
  rig?: ConstructorParameters<typeof BatchRig>[0];
  run: (t: ExecutionContext, rig: BatchRig) => Promise<void>;
}

async function submit(rig: BatchRig, steps: Partial<StepSpec>[]): Promise<void> {
  const node = required(rig.nodes.find(({ isDead }) => !isDead)).node;
  const spec = rig.createJob('motions', steps);
  await rig.settle(node.gateway.submit(rig.queue('motions'), spec, 3_000));
}

/** Takes the VM of a worker down for maintenance, and waits until the holder knows. */
async function takeDown(rig: BatchRig, vm: string): Promise<void> {
  rig.requestWave({ id: '1', vms: [vm], timeLimitS: 8, maxDown: 1 });
  const holder = required(rig.holderOf('motions'));
  const isKnown = () =>
    holder.logLines.some((line) => line.includes(`worker_removed worker=${vm}`));
  await rig.until(() => rig.maintenanceOrders.length > 0 && isKnown());
}

const cases: Case[] = [
  {
    // Guards against a holder that is overloaded by calls to the former workers of a pool that has
    // shrunk: registrations remain for seconds after their workers have left.
    title: 'a worker that has left for planned work is not called again while it is registered',
    run: async (t, rig) => {
      rig.registrationTtlMs = 4_500;
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.refusesConnections = true;
      await takeDown(rig, 'motions-0');
      const callsUntilDeparture = executor.holdCalls;
      await rig.advance(12_000);
      t.is(executor.holdCalls, callsUntilDeparture);
    },
  },
  {
    // Guards against a holder that is overloaded by calls to workers that have crashed.
    title: 'a worker without runs that refuses connections is called at most 12 times in 6 s',
    run: async (t, rig) => {
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.refusesConnections = true;
      executor.crash();
      const callsUntilCrash = executor.holdCalls;
      await rig.advance(6_000);
      t.true(executor.holdCalls - callsUntilCrash <= 12, `${executor.holdCalls} calls`);
    },
  },
  {
    title: 'a worker that restarts under its id after it left is used again',
    run: async (t, rig) => {
      rig.registrationTtlMs = 60_000;
      rig.fleet.script = () => ({ runMs: Infinity });
      await takeDown(rig, 'motions-0');
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.restart();
      rig.register(executor);
      await rig.advance(1_000);
      await submit(rig, [{ count: 16, isLasting: true }]);
      await rig.advance(1_000);
      t.is(executor.running.length, 4);
    },
  },
  {
    // Guards against tasks that never run again, because an answer that was delayed in transit
    // reports them as running on a worker that has left meanwhile.
    title: 'runs listed in a late answer of a worker that has left are not adopted',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, [{ count: 8, isLasting: true }]);
      await rig.until(() => rig.fleet.runs().length === 8);
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.holdAnswerDelayMs = 1_500;
      await rig.until(() => executor.holdAnswersInTransit > 0);
      await takeDown(rig, 'motions-0');
      await rig.advance(6_000);
      t.is(required(rig.fleet.executors.get('motions-0~1')).running.length, 4);
    },
  },
  {
    // Guards against placement rounds without a pause, each of which uses up a run number: a worker
    // that has restarted gets no orders before its clock is known.
    title: 'a worker that has restarted uses up no run numbers until it answers',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.holdAnswerDelayMs = 1_500;
      await submit(rig, [{ count: 4 }]);
      await rig.until(() => executor.holdAnswersInTransit > 0 && rig.fleet.runs().length === 4);
      executor.crash();
      executor.restart();
      rig.register(executor);
      await rig.advance(8_000);
      t.deepEqual([...new Set(rig.fleet.runs().map(({ run }) => run))], [1, 2]);
    },
  },
  {
    // Guards against tasks that run twice after the store was away: a worker lists a limited number of
    // ends that were not acknowledged, so that a run can have ended and be in neither list.
    title: 'a run whose end is beyond those that a worker lists at a time is not started again',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 5 });
      await submit(rig, [{ count: 1_500, cpuMillis: 100, memoryMb: 100 }]);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(6_000);
      t.true(rig.fleet.runs().length > 500, `${rig.fleet.runs().length} runs`);
      rig.store.faults.clear();
      await rig.advance(10_000);
      t.is(rig.fleet.runs().length, 1_500);
    },
  },
  {
    // Guards against the same after a takeover, when the new holder sees the first of these ends.
    title: 'a new holder starts no run again whose end a worker has not listed yet',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 5 });
      const holder = required(rig.holderOf('motions'));
      await submit(rig, [{ count: 1_500, cpuMillis: 4, memoryMb: 1 }]);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(6_000);
      t.true(rig.fleet.runs().length > 500, `${rig.fleet.runs().length} runs`);
      holder.isDead = true;
      rig.store.faults.clear();
      await rig.until(() => rig.holderOf('motions') !== undefined);
      await rig.advance(20_000);
      t.is(rig.fleet.runs().length, 1_500);
    },
  },
  {
    // Guards against a worker that gets no tasks any more, because a notice about its earlier life
    // arrives after it has registered again.
    title: 'a worker is used again after a late notice that its runs have ended',
    rig: { nodes: 1, workersPerService: 1 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      const holder = required(rig.holderOf('motions'));
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.crash();
      await rig.advance(1_100);
      executor.restart();
      rig.register(executor);
      await rig.advance(2_000);
      await rig.deliver(holder.name, {
        kind: NodeCallKind.RunsEnded,
        service: 'motions',
        vm: 'motions-0',
        worker: 'motions-0',
      });
      await rig.advance(1_000);
      await submit(rig, [{ count: 2, isLasting: true }]);
      await rig.advance(10_000);
      t.is(executor.running.length, 2);
    },
  },
  {
    // Guards against starts beyond the capacity of a worker whose capacity has shrunk: what it still
    // runs or stops counts, and the new capacity holds from its registration on.
    title: 'a worker whose capacity shrinks and grows gets starts only within its current capacity',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 3_000 });
      const executor = required(rig.fleet.executors.get('motions-0'));
      const setCores = (cores: number) => {
        const { record } = executor;
        const capacity = { ...record.capacity, cpuMillis: cores * 1_000 };
        executor.record = { ...record, capacity };
        rig.register(executor);
      };
      await submit(rig, [{ count: 12 }]);
      await rig.until(() => executor.running.length === 4);
      setCores(2);
      await rig.advance(1_000);
      const startsUntilShrunk = rig.fleet.runs().length;
      let mostRunning = 0;
      for (let step = 0; step < 70; step++) {
        await rig.advance(100);
        if (rig.fleet.runs().length > startsUntilShrunk)
          mostRunning = Math.max(mostRunning, executor.running.length);
      }
      t.is(mostRunning, 2);
      setCores(4);
      t.true(await rig.until(() => executor.running.length === 4, 5_000));
    },
  },
];

interface RestartedWorker {
  restarted: FakeExecutor;
  other: FakeExecutor;
}

/**
 * Restarts a worker under its id. The holder does not know: its call to the earlier process stays
 * unanswered for 1.5 s, and the new process is not registered yet.
 */
async function restartUnseen(rig: BatchRig): Promise<RestartedWorker> {
  const restarted = required(rig.fleet.executors.get('motions-0'));
  const other = required(rig.fleet.executors.get('motions-1'));
  restarted.holdAnswerDelayMs = 1_500;
  restarted.crash();
  await rig.advance(20);
  restarted.holdAnswerDelayMs = 0;
  restarted.restart();
  return { restarted, other };
}

// Guard against runs of a restarted worker that are started again elsewhere, because the news of the
// restart arrives before the first list of the new process, which has carried out their start orders.
const restartCases: Case[] = [
  {
    title: 'runs that a restarted worker has begun before its restart is known are kept',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 3_000 });
      const { restarted, other } = await restartUnseen(rig);
      other.startRejection = OrderAnswer.NoRoom;
      await submit(rig, [{ count: 4 }]);
      t.true(await rig.until(() => restarted.running.length === 4, 1_000));
      other.startRejection = undefined;
      rig.register(restarted);
      await rig.advance(8_000);
      t.is(rig.fleet.runs().length, 4);
    },
  },
  {
    title: 'a start order that reaches a restarted worker after the news of its restart counts',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 3_000 });
      const { restarted, other } = await restartUnseen(rig);
      other.startRejection = OrderAnswer.NoRoom;
      restarted.unansweredDelayMs = 200;
      await submit(rig, [{ count: 4 }]);
      await rig.advance(20);
      restarted.unansweredDelayMs = 0;
      other.startRejection = undefined;
      rig.register(restarted);
      t.true(await rig.until(() => restarted.running.length === 4, 1_000));
      t.is(rig.fleet.runs().length, 4);
      await rig.advance(10_000);
      t.deepEqual(rig.violations(), []);
    },
  },
  {
    title:
      'the ends of a restarted worker are not acknowledged with numbers of its earlier process',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: 100 });
      await submit(rig, [{ count: 16 }]);
      await rig.advance(3_000);
      const { other } = await restartUnseen(rig);
      other.startRejection = OrderAnswer.NoRoom;
      await submit(rig, [{ count: 2 }]);
      t.true(await rig.until(() => rig.fleet.runs().length === 18, 1_000));
      other.startRejection = undefined;
      await rig.advance(5_000);
      t.is(rig.fleet.runs().length, 18);
      t.deepEqual(rig.violations(), []);
    },
  },
  {
    // Guards against a later holder that calls the former address of a worker, finds another worker
    // there and treats the first one as ended while it still has runs.
    title: 'the roster has the address at which a worker has started again',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      const { restarted } = await restartUnseen(rig);
      const { id } = restarted.record;
      restarted.record = { ...restarted.record, address: '10.0.0.9:8080' };
      rig.register(restarted);
      await rig.advance(1_000);
      const row = rig.store.rowsOfPart('roster', 'motions').find(({ key }) => key === id);
      t.true(row?.value.includes('10.0.0.9:8080'));
    },
  },
  {
    // Guards against tasks that wait for a lease to expire although the process that had their runs is
    // known to have ended.
    title:
      'runs that the first list of a restarted worker does not contain start again within 0.5 s',
    rig: { workersPerService: 2 },
    run: async (t, rig) => {
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, [{ count: 4, isLasting: true }]);
      t.true(await rig.until(() => rig.fleet.runs().length === 4, 1_000));
      const { restarted } = await restartUnseen(rig);
      rig.register(restarted);
      const isRunning = () =>
        rig.fleet.runs().filter(({ endedAt }) => endedAt === undefined).length === 4;
      t.true(await rig.until(isRunning, 500));
      t.deepEqual(rig.violations(), []);
    },
  },
];

/** Answers after which a worker certainly has not begun the run. */
const rejections = [
  OrderAnswer.NoRoom,
  OrderAnswer.Unhealthy,
  OrderAnswer.LeaseInPast,
  OrderAnswer.TicketRefused,
];

const rejectionCases = rejections.map((answer): Case => {
  return {
    // Guards against start orders that are repeated without a pause, which cost both sides processor
    // time, and against run numbers that go beyond those of one epoch.
    title: `starts answered with ${answer} are repeated at most 10 times a second, with one number`,
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.startRejection = answer;
      await submit(rig, [{ count: 1 }]);
      await rig.advance(5_000);
      t.true(executor.startCalls > 1 && executor.startCalls <= 50, `${executor.startCalls} starts`);
      executor.startRejection = undefined;
      await rig.advance(2_000);
      t.deepEqual(
        rig.fleet.runs().map(({ run }) => run),
        [1],
      );
    },
  };
});

const approvals = [
  { isGang: false, allowed: ['motions-63', 'motions-64'] },
  { isGang: true, allowed: ['motions-63', 'motions-64'] },
  { isGang: true, allowed: ['motions-0', 'motions-64'] },
];

const startCases: Case[] = [
  {
    // Guards against tickets of the former life of a worker, which are sent without a pause until
    // they expire.
    title: 'a worker that has restarted gets new tickets',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.ticketLifeMs = 30_000;
      rig.configure({ version: 2, services: ['motions'] });
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.requiresTicket = true;
      await rig.advance(500);
      rig.fleet.script = () => ({ runMs: 1_000 });
      await submit(rig, [{ count: 8 }]);
      t.true(await rig.until(() => rig.fleet.runs().length === 4));
      executor.crash();
      executor.restart();
      rig.register(executor);
      const startsBefore = executor.startCalls;
      await rig.advance(6_000);
      const starts = executor.startCalls - startsBefore;
      t.true(starts <= 16, `${starts} starts`);
      t.is(rig.fleet.runs().length, 12);
    },
  },
  {
    // Guards against a large step whose tasks are refused in turn without a pause.
    title:
      'a step of 100 tasks whose tickets are refused fills its workers at most 5 times a second',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      rig.ticketLifeMs = 30_000;
      rig.configure({ version: 2, services: ['motions'] });
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.startRejection = OrderAnswer.TicketRefused;
      await rig.advance(500);
      await submit(rig, [{ count: 100 }]);
      await rig.advance(5_000);
      t.true(
        executor.startCalls > 4 && executor.startCalls <= 100,
        `${executor.startCalls} starts`,
      );
      executor.startRejection = undefined;
      await rig.advance(1_000);
      t.true(rig.fleet.runs().length >= 4);
    },
  },
  {
    // Guards against advice without tickets that counts as valid: the step would wait until it ends.
    title: 'a step whose queue needs tickets starts once there is a worker',
    rig: { workersPerService: 0 },
    run: async (t, rig) => {
      rig.ticketLifeMs = 30_000;
      rig.configure({ version: 2, services: ['motions'] });
      await rig.advance(500);
      await submit(rig, [{ count: 2 }]);
      await rig.advance(1_000);
      t.is(rig.adviceCalls, 0);
      rig.addWorker('motions-0', 'motions');
      await rig.advance(2_000);
      t.is(rig.fleet.runs().length, 2);
    },
  },
  ...approvals.map(({ isGang, allowed }): Case => {
    return {
      // Guards against a step that never starts because the workers that may run it are not among
      // the first that the advice service is asked about.
      title: `a ${isGang ? 'gang' : 'step'} starts on the only workers of 65 that may run it, ${allowed.join(' and ')}`,
      rig: { workersPerService: 65 },
      run: async (t, rig) => {
        rig.ticketLifeMs = 30_000;
        rig.configure({ version: 2, services: ['motions'] });
        for (const [id, executor] of rig.fleet.executors) {
          executor.isApproved = allowed.includes(id);
          executor.requiresTicket = true;
        }
        await rig.advance(500);
        await submit(rig, [{ count: 8, isGang }]);
        await rig.advance(2_000);
        t.is(rig.fleet.runs().length, 8);
        t.deepEqual([...new Set(rig.fleet.runs().map(({ worker }) => worker))].sort(), allowed);
        t.is(rig.adviceCalls, 3);
      },
    };
  }),
  {
    // Guards against calls to the advice service about workers without free resources.
    title: 'no further workers are asked about while all of them are busy',
    rig: { workersPerService: 35 },
    run: async (t, rig) => {
      rig.ticketLifeMs = 30_000;
      rig.configure({ version: 2, services: ['motions'] });
      await rig.advance(500);
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, [{ count: 200, isLasting: true }]);
      await rig.advance(5_000);
      t.is(rig.fleet.runs().length, 140);
      t.is(rig.adviceCalls, 2);
    },
  },
  {
    // Guards against start orders without a pause when an earlier holder used many run numbers.
    title: 'a task whose next run numbers are too old for a worker starts within 20 orders',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const executor = required(rig.fleet.executors.get('motions-0'));
      const node = required(rig.nodes[0]).node;
      const spec = rig.createJob('motions', [{ count: 1 }]);
      executor.stop({ task: `${spec.id}.0.0.0`, run: 3_000, fencingToken: 1 });
      await rig.settle(node.gateway.submit(rig.queue('motions'), spec, 3_000));
      await rig.advance(1_000);
      t.true(executor.startCalls <= 10, `${executor.startCalls} starts in 1 s`);
      t.true(await rig.until(() => rig.fleet.runs().length === 1));
      t.true(executor.startCalls <= 20, `${executor.startCalls} starts`);
    },
  },
  {
    // Guards against a task that skips all run numbers of an epoch while a worker still runs it.
    title: 'a start that is too old for the whole time of a lease skips less than 1000 numbers',
    rig: { workersPerService: 1 },
    run: async (t, rig) => {
      const executor = required(rig.fleet.executors.get('motions-0'));
      executor.startRejection = OrderAnswer.RunTooOld;
      await submit(rig, [{ count: 1 }]);
      await rig.advance(6_000);
      executor.startRejection = undefined;
      t.true(await rig.until(() => rig.fleet.runs().length === 1));
      const run = required(rig.fleet.runs()[0]?.run);
      t.true(run < 1_000, `run ${run}`);
    },
  },
];

for (const { title, rig: options, run } of [
  ...cases,
  ...restartCases,
  ...rejectionCases,
  ...startCases,
]) {
  test(title, async (t) => {
    const rig = new BatchRig(options);
    await rig.ready();
    await run(t, rig);
  });
}
