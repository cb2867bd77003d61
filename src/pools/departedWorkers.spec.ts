import test, { type ExecutionContext } from 'ava';
import { NodeCallKind } from '../batch/nodeCalls.js';
import { VmState, type ListedVm } from '../batch/ports.js';
import type { ServiceLoad, WorkerLoad } from '../batch/serviceLoad.js';
import { BatchRig, required, type RigNode } from '../testing/batchRig/index.js';
import { DepartedWorkers } from './departedWorkers.js';

const SERVICE = 'motions';

function loadsOf(workers: WorkerLoad[]): Map<string, ServiceLoad> {
  const cpu = { waitingCpu: 0, backlogCpu: 0, expectedCpu: 0, lastingCpu: 0, usedCpu: 0 };
  return new Map([[SERVICE, { ...cpu, capacityCpu: 0, workers, spreadNeed: 0 }]]);
}

function vmOf(worker: string | undefined, state = VmState.Up): ListedVm {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
  return { vm: `vm-${worker ?? 'off'}`, pool: SERVICE, state, capacity, labels: [], worker };
}

interface Case {
  title: string;
  /** Start time of the worker `a` if it is silent at a report, by the time of the report. */
  reports: [number, number | undefined][];
  /** Lists by the time at which they were requested; one without the worker if `vms` is undefined. */
  lists: { at: number; vms?: ListedVm[] }[];
  /** Whether the worker is found to have left. */
  hasLeft: boolean;
}

const cases: Case[] = [
  {
    title: 'a silent worker that is missing in two lists has left, and is reported once per list',
    reports: [[0, 7]],
    lists: [{ at: 1_000, vms: [vmOf('b'), vmOf(undefined)] }, { at: 1_400 }, { at: 1_400 }],
    hasLeft: true,
  },
  {
    title: 'a silent worker that is missing in one list may be missing by a change of the VMs',
    reports: [[0, 7]],
    lists: [{ at: 1_000 }, { at: 1_000 }],
    hasLeft: false,
  },
  {
    title: 'a silent worker that is listed again after a list without it has not left',
    reports: [[0, 7]],
    lists: [{ at: 1_000 }, { at: 1_400, vms: [vmOf('a')] }, { at: 1_800 }],
    hasLeft: false,
  },
  {
    title: 'a silent worker that a VM runs is only out of reach',
    reports: [[0, 7]],
    lists: [
      { at: 1_000, vms: [vmOf('a'), vmOf('b')] },
      { at: 60_000, vms: [vmOf('a')] },
    ],
    hasLeft: false,
  },
  {
    title: 'maintenance ends the worker of a VM',
    reports: [[0, 7]],
    lists: [
      { at: 1_000, vms: [vmOf('a', VmState.Upkeep)] },
      { at: 1_400, vms: [vmOf('a', VmState.Upkeep)] },
    ],
    hasLeft: true,
  },
  {
    title: 'a worker that answers has not left, whatever the list says',
    reports: [[0, undefined]],
    lists: [{ at: 60_000 }, { at: 61_000 }],
    hasLeft: false,
  },
  {
    title: 'a list that was requested when the worker had just become silent does not count',
    reports: [[0, 7]],
    lists: [{ at: 999 }, { at: 1_400 }],
    hasLeft: false,
  },
  {
    title: 'the time counts anew once a worker has answered',
    reports: [
      [0, 7],
      [500, undefined],
      [600, 7],
    ],
    lists: [{ at: 1_500 }, { at: 1_900 }],
    hasLeft: false,
  },
  {
    title: 'the time counts anew once a worker has started again',
    reports: [
      [0, 7],
      [900, 8],
    ],
    lists: [{ at: 1_000 }, { at: 1_899 }],
    hasLeft: false,
  },
  {
    title: 'the first report of a silence counts',
    reports: [
      [0, 7],
      [900, 7],
    ],
    lists: [{ at: 1_000 }, { at: 1_400 }],
    hasLeft: true,
  },
];

for (const { title, reports, lists, hasLeft } of cases) {
  // Guards against waits for workers that have left, and against runs that are started again while
  // their worker is only out of reach.
  test(title, (t) => {
    const departed = new DepartedWorkers();
    for (const [now, silentBornMs] of reports) {
      departed.observe(loadsOf([{ id: 'a', runs: 1, silentBornMs }]), now);
    }
    const found = lists.flatMap(({ at, vms = [] }) => departed.find(vms, at));
    t.deepEqual(found, hasLeft ? [{ service: SERVICE, worker: 'a', bornMs: 7 }] : []);
  });
}

const listCases = [
  { title: 'before the worker has been silent for a second', lists: [-1], now: 900, needed: false },
  { title: 'once it has been silent for a second', lists: [900], now: 1_000, needed: true },
  { title: 'after one list without the worker', lists: [1_000], now: 5_000, needed: true },
  { title: 'after a notice that was not handled', lists: [1_000, 1_400], now: 5_000, needed: true },
];

for (const { title, lists, now, needed } of listCases) {
  // Guards against more calls to the vendor for each worker that is silent for long.
  test(`a new list is${needed ? '' : ' not'} needed ${title}`, (t) => {
    const departed = new DepartedWorkers();
    departed.observe(loadsOf([{ id: 'a', runs: 1, silentBornMs: 7 }]), 0);
    for (const listedAt of lists) departed.find([], listedAt);
    t.is(departed.needsList(lists.at(-1) ?? 0, now), needed);
  });
}

test('a silent worker that is listed needs no new list', (t) => {
  const departed = new DepartedWorkers();
  departed.observe(loadsOf([{ id: 'a', runs: 1, silentBornMs: 7 }]), 0);
  departed.find([vmOf('a')], 1_000);
  t.false(departed.needsList(1_000, 60_000));
});

interface RigCase {
  title: string;
  /** Called when a long-running task runs on `worker`. */
  act: (rig: BatchRig, holder: RigNode, worker: string) => Promise<void>;
  /** Time after which the runs are counted, in milliseconds. */
  afterMs: number;
  expectedRuns: number;
}

const rigCases: RigCase[] = [
  {
    // Guards against tasks that wait for the leases of a worker that has ended.
    title: 'a task of a VM that was switched off starts elsewhere before its lease has expired',
    act: (rig, _holder, worker) => {
      rig.switchOff(worker);
      return Promise.resolve();
    },
    afterMs: 4_000,
    expectedRuns: 2,
  },
  {
    // Guards against two runs of a task because an entry of the VM list could not be decoded.
    title: 'a worker that is out of reach keeps its run while the VM list is incomplete',
    act: (rig, holder, worker) => {
      rig.unreadableVms.add(worker);
      rig.fleet.cuts.add(`${holder.name}>${worker}`);
      return Promise.resolve();
    },
    afterMs: 4_000,
    expectedRuns: 1,
  },
  {
    // Guards against a late notice about a worker that has started again, or has been reached since.
    title: 'a worker that answers keeps its run after a notice that it has left',
    act: (rig, holder, worker) => {
      const { bornMs } = required(rig.fleet.executors.get(worker)).record;
      const kind = NodeCallKind.WorkerGone;
      return rig.deliver(holder.name, { kind, service: SERVICE, worker, bornMs });
    },
    afterMs: 4_000,
    expectedRuns: 1,
  },
];

async function startLastingTask(t: ExecutionContext, rig: BatchRig, holder: RigNode) {
  rig.fleet.script = () => ({ runMs: Infinity });
  const spec = rig.createJob(SERVICE, [{ count: 1, isLasting: true }]);
  await rig.settle(holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
  t.true(await rig.until(() => rig.fleet.runs().length === 1));
  return required(rig.fleet.runs()[0]).worker;
}

for (const { title, act, afterMs, expectedRuns } of rigCases) {
  test(title, async (t) => {
    const rig = new BatchRig();
    await rig.ready();
    const holder = required(rig.holderOf(SERVICE));
    const worker = await startLastingTask(t, rig, holder);
    await rig.advance(2_000);
    await act(rig, holder, worker);
    await rig.advance(afterMs);
    t.is(rig.fleet.runs().length, expectedRuns);
    t.deepEqual(rig.violations(), []);
  });
}

/** Longer than a request to empty a worker lasts without being repeated, and less than a lease. */
const VM_LIST_OUTAGE_MS = 4_000;

// Guards against a task that is given up because of planned work: a crash is counted for it when the
// VM list is unavailable from the order until the request to empty the worker has expired.
test('maintenance is no crash when the VM list is unavailable after its order', async (t) => {
  const rig = new BatchRig();
  await rig.ready();
  rig.fleet.script = () => ({ runMs: 30_000 });
  rig.maintenanceMs = 20_000;
  const holder = required(rig.holderOf(SERVICE));
  const spec = rig.createJob(SERVICE, [{ count: 1 }]);
  await rig.settle(holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
  t.true(await rig.until(() => rig.fleet.runs().length === 1));
  const { worker } = required(rig.fleet.runs()[0]);
  await rig.advance(2_000);
  rig.requestWave({ id: '1', vms: [worker], timeLimitS: 4, maxDown: 1 });
  t.true(await rig.until(() => rig.maintenanceOrders.length > 0, 10_000));
  rig.isVmListDown = true;
  await rig.advance(VM_LIST_OUTAGE_MS);
  rig.isVmListDown = false;
  t.true(await rig.until(() => rig.fleet.runs().length === 2, 3_000));
  const crashes = holder.logLines.filter((line) => line.includes('event=worker_crashed'));
  t.deepEqual(crashes, []);
});

// Guards against two runs of a task at a time: a notice is about the life of a worker that has ended,
// and is carried out late, when the worker has started again under its id and is out of reach.
test('a late notice about an earlier life of a worker that is out of reach is ignored', async (t) => {
  const rig = new BatchRig({ workersPerService: 2 });
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  const worker = await startLastingTask(t, rig, holder);
  const executor = required(rig.fleet.executors.get(worker));
  const [other] = [...rig.fleet.executors.keys()].filter((id) => id !== worker);
  const { bornMs } = executor.record;
  // The task starts on the same worker again, because the other one is out of reach meanwhile.
  rig.fleet.cuts.add(`${holder.name}>${other}`);
  await rig.advance(1_000);
  executor.crash();
  await rig.advance(1_000);
  executor.restart();
  rig.register(executor);
  t.true(await rig.until(() => executor.running.length === 1, 8_000));
  rig.fleet.cuts.delete(`${holder.name}>${other}`);
  await rig.advance(2_000);
  rig.fleet.cuts.add(`${holder.name}>${worker}`);
  await rig.advance(1_000);
  t.is(executor.running.length, 1);
  const kind = NodeCallKind.WorkerGone;
  await rig.deliver(holder.name, { kind, service: SERVICE, worker, bornMs });
  await rig.advance(2_000);
  t.deepEqual(rig.violations(), []);
});
