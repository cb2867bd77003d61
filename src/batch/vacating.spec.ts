import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, type FakeExecutor } from '../testing/batchRig/index.js';
import type { StepSpec } from './types.js';

const SERVICE = 'motions';
const WORKERS = 6;
/** A task that keeps its worker from being empty; another one of {@link LASTING} does not fit beside it. */
const SHORT: Partial<StepSpec> = { count: WORKERS, cpuMillis: 2_500, maxPerWorker: 1 };
const SHORT_MS = 20_000;
const LASTING: Partial<StepSpec> = {
  count: 3,
  cpuMillis: 2_000,
  isLasting: true,
  maxPerWorker: 1,
  maxAway: 1,
};

interface Replacement {
  /** Time until the new worker starts. */
  downMs: number;
  /** Whether the registration of the crashed worker remains. */
  staysRegistered: boolean;
  /** Whether another worker answers at its address. */
  reusesAddress: boolean;
}

async function submit(rig: BatchRig, step: Partial<StepSpec>): Promise<void> {
  const node = required(rig.nodes.find(({ isDead }) => !isDead)).node;
  const spec = rig.createJob(SERVICE, [step]);
  await rig.settle(node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
}

/** Crashes a worker; another one with a new id takes its place on the VM. */
function replace(rig: BatchRig, executor: FakeExecutor, how: Replacement): void {
  const { id } = executor.record;
  executor.crash();
  rig.clock.setTimer(how.downMs, () => {
    executor.isReplaced = how.reusesAddress;
    if (!how.staysRegistered) rig.unregister(id);
    rig.addWorker(`${id}~crash`, SERVICE);
  });
}

function executorOf(rig: BatchRig, id: string): FakeExecutor {
  return required(rig.fleet.executors.get(id));
}

/** Requests a wave and waits until it waits for two VMs, whose workers have a short task each. */
async function startWave(rig: BatchRig): Promise<void> {
  rig.fleet.script = (task) => ({ runMs: isLasting(task) ? Infinity : SHORT_MS });
  await submit(rig, SHORT);
  await rig.until(() => rig.fleet.runs().length === WORKERS);
  await rig.advance(1_000);
  const vms = [...rig.fleet.executors.keys()];
  rig.requestWave({ id: '1', vms, timeLimitS: 26, maxDown: 2 });
  await rig.advance(2_000);
}

/** Requests a wave whose first two orders get no answer, and makes the VM list unavailable. */
async function startUnansweredWave(t: ExecutionContext, rig: BatchRig): Promise<string[]> {
  const vms = [...rig.fleet.executors.keys()];
  rig.isVendorSilent = true;
  rig.requestWave({ id: '1', vms, timeLimitS: 26, maxDown: 2 });
  t.true(await rig.until(() => rig.maintenanceOrders.length === 2));
  rig.isVmListDown = true;
  return vms;
}

/** Makes the vendor answer again, and waits until the wave has finished. */
async function endWave(t: ExecutionContext, rig: BatchRig): Promise<void> {
  rig.isVendorSilent = false;
  rig.isVmListDown = false;
  await rig.advance(40_000);
  t.true(rig.isFinished('1'));
}

/** The first job is the one of short tasks. */
const isLasting = (task: string) => !task.startsWith('0000000000000001.');

const replacements = [50, 500, 2_000].flatMap((downMs) =>
  [true, false].flatMap((staysRegistered) =>
    [true, false].map((reusesAddress) => ({ downMs, staysRegistered, reusesAddress })),
  ),
);

// Guard against maintenance that ends more tasks of a step than it may: a wave waits for a VM to be empty,
// the worker there crashes, and its absence is taken for an empty VM although another one runs there.
for (const how of replacements) {
  const { downMs, staysRegistered, reusesAddress } = how;
  const facts = `after ${downMs} ms${staysRegistered ? ', still registered' : ''}${reusesAddress ? ', same address' : ''}`;
  test(`a wave empties the worker that has replaced a crashed one (${facts})`, async (t) => {
    const rig = new BatchRig({ workersPerService: WORKERS });
    await rig.ready();
    await startWave(rig);
    for (const number of [0, 1, 2]) replace(rig, executorOf(rig, `${SERVICE}-${number}`), how);
    await rig.advance(downMs + 400);
    await submit(rig, LASTING);
    await rig.advance(40_000);
    t.deepEqual(rig.violations(), []);
    t.true(rig.isFinished('1'));
  });
}

interface Case {
  title: string;
  run: (t: ExecutionContext, rig: BatchRig) => Promise<void>;
}

const cases: Case[] = [
  {
    title: 'a wave empties a replacement that starts while the VM list is unavailable',
    run: async (t, rig) => {
      await startWave(rig);
      rig.isVmListDown = true;
      const how = { downMs: 500, staysRegistered: false, reusesAddress: true };
      for (const number of [0, 1, 2]) replace(rig, executorOf(rig, `${SERVICE}-${number}`), how);
      await rig.advance(900);
      await submit(rig, LASTING);
      await rig.advance(2_000);
      await endWave(t, rig);
    },
  },
  {
    title: 'a wave empties a worker that has restarted under its id',
    run: async (t, rig) => {
      await startWave(rig);
      for (const number of [0, 1, 2]) {
        const executor = executorOf(rig, `${SERVICE}-${number}`);
        executor.crash();
        rig.clock.setTimer(500, () => {
          executor.restart();
          rig.register(executor);
        });
      }
      await rig.advance(900);
      await submit(rig, LASTING);
      await rig.advance(40_000);
      t.true(rig.isFinished('1'));
    },
  },
  {
    // Guards against an order without an answer that is sent again although its VM has tasks by now.
    title: 'a wave empties a VM again before it repeats an order that got no answer',
    run: async (t, rig) => {
      await startUnansweredWave(t, rig);
      rig.fleet.script = (task) => ({ runMs: isLasting(task) ? Infinity : 4_000 });
      await submit(rig, { ...SHORT, count: WORKERS - 2, cpuMillis: 3_000 });
      await rig.advance(4_000);
      await submit(rig, LASTING);
      await rig.until(() => rig.fleet.runs().length === WORKERS + 1);
      await rig.advance(1_000);
      await endWave(t, rig);
    },
  },
  {
    title: 'a wave empties the replacement of a worker whose VM got an order without an answer',
    run: async (t, rig) => {
      const vms = await startUnansweredWave(t, rig);
      const how = { downMs: 500, staysRegistered: false, reusesAddress: true };
      for (const vm of vms) replace(rig, executorOf(rig, vm), how);
      rig.fleet.script = () => ({ runMs: Infinity });
      await rig.advance(1_000);
      await submit(rig, LASTING);
      await rig.advance(4_000);
      await endWave(t, rig);
    },
  },
  {
    // Guards against capacity that is held back for longer than it takes to learn that it may be used.
    title: 'a worker that is new in a pool gets tasks as soon as those of the wave have answered',
    run: async (t, rig) => {
      await startWave(rig);
      rig.addWorker('motions-new', SERVICE);
      await submit(rig, { ...LASTING, count: 1 });
      const isStarted = () => rig.fleet.runs().some(({ worker }) => worker === 'motions-new');
      t.true(await rig.until(isStarted, 1_000));
    },
  },
  {
    title:
      'workers that were held back get tasks once the wave knows which one has replaced another',
    run: async (t, rig) => {
      await startWave(rig);
      const how = { downMs: 500, staysRegistered: true, reusesAddress: false };
      for (const number of [0, 2, 3]) replace(rig, executorOf(rig, `${SERVICE}-${number}`), how);
      await rig.advance(600);
      await submit(rig, { ...LASTING, count: 2 });
      const started = () => rig.fleet.runs().filter(({ worker }) => worker.endsWith('~crash'));
      t.true(await rig.until(() => started().length === 2, 2_000));
      t.false(started().some(({ worker }) => worker === 'motions-0~crash'));
    },
  },
];

for (const { title, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig({ workersPerService: WORKERS });
    await rig.ready();
    await run(t, rig);
    t.deepEqual(rig.violations(), []);
  });
}
