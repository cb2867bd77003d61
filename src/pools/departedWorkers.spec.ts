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
  /** Whether the worker `a` is silent at each report, by its time in milliseconds. */
  reports: [number, boolean | undefined][];
  vms: ListedVm[];
  listedAt: number;
  expected: string[];
}

const cases: Case[] = [
  {
    title: 'a silent worker that no VM runs has left',
    reports: [[0, true]],
    vms: [vmOf('b'), vmOf(undefined)],
    listedAt: 1_000,
    expected: ['a'],
  },
  {
    title: 'a silent worker that a VM runs is only out of reach',
    reports: [[0, true]],
    vms: [vmOf('a'), vmOf('b')],
    listedAt: 60_000,
    expected: [],
  },
  {
    title: 'maintenance ends the worker of a VM',
    reports: [[0, true]],
    vms: [vmOf('a', VmState.Upkeep)],
    listedAt: 1_000,
    expected: ['a'],
  },
  {
    title: 'a worker that answers has not left, whatever the list says',
    reports: [[0, false]],
    vms: [],
    listedAt: 60_000,
    expected: [],
  },
  {
    title: 'a list that was requested when the worker had just become silent does not count',
    reports: [[0, true]],
    vms: [],
    listedAt: 999,
    expected: [],
  },
  {
    title: 'the time counts anew once a worker has answered',
    reports: [
      [0, true],
      [500, false],
      [600, true],
    ],
    vms: [],
    listedAt: 1_500,
    expected: [],
  },
  {
    title: 'the first report of a silence counts',
    reports: [
      [0, true],
      [900, true],
    ],
    vms: [],
    listedAt: 1_000,
    expected: ['a'],
  },
  {
    title: 'a holder of an earlier version does not report silence',
    reports: [[0, undefined]],
    vms: [],
    listedAt: 60_000,
    expected: [],
  },
];

for (const { title, reports, vms, listedAt, expected } of cases) {
  // Guards against waits for workers that have left, and against runs that are started again while
  // their worker is only out of reach.
  test(title, (t) => {
    const departed = new DepartedWorkers();
    for (const [now, isSilent] of reports) {
      departed.observe(loadsOf([{ id: 'a', runs: 1, isSilent }]), now);
    }
    const found = departed.find(vms, listedAt).map(({ worker }) => worker);
    t.deepEqual(found, expected);
  });
}

const listCases = [
  {
    title: 'before the worker has been silent for a second',
    listedAt: -1,
    now: 900,
    needed: false,
  },
  { title: 'once it has been silent for a second', listedAt: 900, now: 1_000, needed: true },
  { title: 'after a list that was requested since', listedAt: 1_000, now: 5_000, needed: false },
];

for (const { title, listedAt, now, needed } of listCases) {
  // Guards against more calls to the vendor for each worker that is silent for long.
  test(`a new list is${needed ? '' : ' not'} needed ${title}`, (t) => {
    const departed = new DepartedWorkers();
    departed.observe(loadsOf([{ id: 'a', runs: 1, isSilent: true }]), 0);
    t.is(departed.needsList(listedAt, now), needed);
  });
}

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
    act: (rig, holder, worker) =>
      rig.deliver(holder.name, { kind: NodeCallKind.WorkerGone, service: SERVICE, worker }),
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
