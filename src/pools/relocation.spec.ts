import test from 'ava';
import { NodeCallKind } from '../batch/nodeCalls.js';
import { planMoves, type BalancedService, type BalancedVm } from './balance.js';
import { JobState, RunEnd, VmState, type StepSpec } from '../batch/index.js';
import { BatchRig, required } from '../testing/batchRig/index.js';

const CPU = 32_000;

/** A pool whose VMs have the given numbers of movable runs; 0 for an empty VM, -1 for unknown. */
function pool(name: string, runs: number[]): BalancedVm[] {
  return runs.map((count, index) => ({
    vm: `${name}-${index}`,
    pool: name,
    state: VmState.Up,
    capacity: { cpuMillis: CPU, memoryMb: 65_536, accelerators: 0 },
    labels: [],
    worker: `worker-${name}-${index}`,
    emptyForMs: count === 0 ? 500 : undefined,
    movableRuns: count > 0 ? count : undefined,
  }));
}

function service(name: string, usedCpu: number, waitingCpu = 0): BalancedService {
  const cpu = { usedCpu, waitingCpu, backlogCpu: waitingCpu, expectedCpu: 0, lastingCpu: 0 };
  const load = { ...cpu, capacityCpu: 0, workers: [], spreadNeed: 0 };
  return { name, isStandby: false, load, arriving: 0 };
}

interface PlanCase {
  title: string;
  services: BalancedService[];
  vms: BalancedVm[];
  /** VMs that move, with `!` if they have runs. */
  expected: string[];
}

const planCases: PlanCase[] = [
  {
    // Guards against a turn of demand whose first jobs wait until each VM of the turn before is empty.
    title:
      'VMs with the fewest runs leave a pool that has more than it needs, after the empty ones',
    services: [service('gates', 2 * CPU, 3 * CPU), service('passes', 2 * CPU)],
    vms: [...pool('gates', [4, 4]), ...pool('passes', [3, 1, 2, 0, 5, 5])],
    expected: ['passes-3', 'passes-1!', 'passes-2!'],
  },
  {
    title: 'a pool that needs its VMs gives none with runs',
    services: [service('gates', 2 * CPU, 3 * CPU), service('passes', 5 * CPU)],
    vms: [...pool('gates', [4, 4]), ...pool('passes', [3, 1, 2, 1, 5, 5])],
    expected: [],
  },
  {
    title: 'VMs with long-running tasks, or with unknown runs, stay',
    services: [service('gates', 2 * CPU, 3 * CPU), service('passes', 2 * CPU)],
    vms: [...pool('gates', [4, 4]), ...pool('passes', [-1, -1, -1, -1, 2])],
    expected: ['passes-4!'],
  },
  {
    title: 'no VM with runs moves while no service is short of VMs',
    services: [service('gates', CPU), service('passes', CPU)],
    vms: [...pool('gates', [4, 4]), ...pool('passes', [1, 1, 1, 1])],
    expected: [],
  },
];

for (const { title, services, vms, expected } of planCases) {
  test(title, (t) => {
    const moved = planMoves(services, vms).map(({ vm, hasRuns }) => (hasRuns ? `${vm}!` : vm));
    t.deepEqual(moved, expected);
  });
}

interface RunCase {
  title: string;
  step: Partial<StepSpec>;
  relocatesRuns: boolean;
  /** Whether the tasks of the emptied worker go on elsewhere. */
  moves: boolean;
}

const runCases: RunCase[] = [
  {
    // Guards against a VM that waits for long tasks although their progress is saved.
    title: 'tasks with checkpoints are resumed on another worker',
    step: { savesProgress: true },
    relocatesRuns: true,
    moves: true,
  },
  {
    // Guards against work that is thrown away for a move.
    title: 'tasks without checkpoints are left to finish',
    step: {},
    relocatesRuns: true,
    moves: false,
  },
  {
    title: 'maintenance leaves short tasks to finish as before',
    step: { savesProgress: true },
    relocatesRuns: false,
    moves: false,
  },
];

for (const { title, step, relocatesRuns, moves } of runCases) {
  test(`an emptied worker: ${title}`, async (t) => {
    const rig = new BatchRig({ workersPerService: 2 });
    await rig.ready();
    // Runs report half of their progress until then.
    rig.fleet.startupMs = 60_000;
    rig.fleet.script = () => ({ runMs: 4_000 });
    const holder = required(rig.holderOf('motions'));
    const spec = rig.createJob('motions', [{ count: 2, ...step }]);
    void holder.node.gateway.submit(rig.queue('motions'), spec, 3_000);
    t.true(await rig.until(() => rig.fleet.runs().length === 2));
    await rig.advance(1_200);
    const worker = required(rig.fleet.runs()[0]).worker;
    const listed = { vm: worker, worker, listAgeMs: 0 };
    const call = { kind: NodeCallKind.Vacate, service: 'motions', ...listed, isUrgent: false };
    await rig.deliver(holder.name, { ...call, relocatesRuns });
    await rig.advance(2_000);
    const here = rig.fleet.runs().filter((run) => run.worker === worker);
    t.is(
      here.every(({ end }) => end === RunEnd.Stopped),
      moves,
    );
    t.is(
      rig.fleet.runs().some((run) => run.worker !== worker),
      moves,
    );
    await rig.advance(6_000);
    t.is(
      (await rig.settle(holder.node.gateway.status(rig.queue('motions'), spec.id))).state,
      JobState.Succeeded,
    );
    t.deepEqual(rig.violations(), []);
  });
}
