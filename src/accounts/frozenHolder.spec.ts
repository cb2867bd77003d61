import test, { type ExecutionContext } from 'ava';
import { CallOutcome } from '../batch/gateway.js';
import { RunEnd, type JobSpec, type StepSpec } from '../batch/types.js';
import {
  BatchRig,
  required,
  type BatchRigOptions,
  type RigNode,
} from '../testing/batchRig/index.js';
import { BUDGET_TABLE } from './budgetRow.js';

const ACCOUNT = 'herons';
const SERVICES = ['motions', 'sightings'];
/** The limit holds 4 tasks of a whole core; a start may exceed it by one more. */
const MAX_RUNNING = 5;
const rigOptions: BatchRigOptions = {
  services: SERVICES,
  nodes: 4,
  limits: { [ACCOUNT]: { cpuMillis: 4_000 } },
};

/** Maximum duration of a lease. */
const MAX_LEASE_MS = 6_000;

/** What the holder is doing when it is frozen. */
interface Situation {
  name: string;
  /** Brings the rig to the moment of the freeze. */
  prepare: (rig: BatchRig, holder: RigNode) => Promise<void>;
}

/**
 * The lease of a holder on its service ends 2.4 s after its last renewal, and it may send orders up to 7 s
 * after it. The lengths are before the end of that, shortly before it, and after it.
 */
const FREEZES_MS = [4_000, 6_400, 12_000];

async function submit(
  rig: BatchRig,
  gateway: RigNode,
  service: string,
  step: Partial<StepSpec>,
  fields: Partial<JobSpec> = {},
): Promise<void> {
  const spec = rig.createJob(service, [step], { account: ACCOUNT, ...fields });
  const answer = await rig.settle(gateway.node.gateway.submit(rig.queue(service), spec, 3_000));
  if (answer.outcome !== CallOutcome.Ok) throw new Error(`refused: ${answer.outcome}`);
}

function running(rig: BatchRig): number {
  return [...rig.fleet.executors.values()].flatMap((executor) => executor.running).length;
}

/** Advances time in short steps; returns the largest and the average number of runs at them. */
async function observeRunning(
  rig: BatchRig,
  ms: number,
): Promise<{ most: number; average: number }> {
  const counts: number[] = [];
  const end = rig.clock.now() + ms;
  while (rig.clock.now() < end) {
    await rig.advance(10);
    counts.push(running(rig));
  }
  const sum = counts.reduce((total, count) => total + count, 0);
  return { most: Math.max(0, ...counts), average: sum / counts.length };
}

/** Waits until the holder has sent a write of a budget row; its outcome is not known yet. */
async function untilBudgetWrite(rig: BatchRig, holder: RigNode): Promise<void> {
  const sentAt: number[] = [];
  rig.store.onTransaction = (node, { writes }) => {
    if (node === holder.name && writes.some(({ table }) => table === BUDGET_TABLE))
      sentAt.push(rig.clock.now());
  };
  const end = rig.clock.now() + 5_000;
  while (sentAt.length === 0 && rig.clock.now() < end) await rig.advance(1);
  if (sentAt.length === 0) throw new Error('the holder wrote no budget row');
}

const situations: Situation[] = [
  {
    name: 'with tasks waiting for its grant',
    prepare: async (rig, holder) => {
      await submit(rig, holder, 'motions', { count: 80 });
      await rig.advance(1_500);
    },
  },
  {
    name: 'with an unused grant and tasks that become due meanwhile',
    prepare: async (rig, holder) => {
      const firstDueMs = rig.clock.wallTime() + 4_500;
      const due = { occurrences: 1, firstDueMs, periodMs: 0 };
      await submit(rig, holder, 'motions', { count: 40 }, due);
      await submit(rig, holder, 'motions', { count: 4 });
      await rig.until(() => rig.fleet.runs().filter(({ endedAt }) => endedAt).length === 4);
      await rig.advance(100);
    },
  },
  {
    name: 'while a raise of its grant is on its way',
    prepare: async (rig, holder) => {
      const written = untilBudgetWrite(rig, holder);
      void holder.node.gateway.submit(
        rig.queue('motions'),
        rig.createJob('motions', [{ count: 80 }], { account: ACCOUNT }),
        3_000,
      );
      await written;
    },
  },
];

async function play(
  t: ExecutionContext,
  { prepare }: Situation,
  freeze: { ms: number; isSuspended: boolean; isWorkerCut: boolean },
): Promise<void> {
  const rig = new BatchRig(rigOptions);
  await rig.ready(SERVICES);
  rig.fleet.script = () => ({ runMs: 700 });
  const holder = required(rig.holderOf('motions'));
  const other = required(rig.holderOf('sightings'));
  t.not(holder, other);
  await prepare(rig, holder);

  holder.process.freeze({ isSuspended: freeze.isSuspended });
  const successor = () =>
    rig.nodes.find((node) => node !== holder && node.node.hasLoadedService('motions'));
  if (freeze.isWorkerCut) {
    // A worker that the successor does not reach does not know its fencing token.
    for (const node of rig.nodes) if (node !== holder) rig.fleet.cuts.add(`${node.name}>motions-0`);
  }
  await submit(rig, other, 'sightings', { count: 80 });
  t.true((await observeRunning(rig, freeze.ms)).most <= MAX_RUNNING);
  t.truthy(successor(), 'no successor holds the service');

  holder.process.resume();
  const after = await observeRunning(rig, 6_000);
  t.true(after.most <= MAX_RUNNING, `${after.most} runs`);
  rig.fleet.cuts.clear();
  const later = await observeRunning(rig, 6_000);
  t.true(later.most <= MAX_RUNNING, `${later.most} runs`);
  // The limit is in use, so that a start beyond it would show.
  t.true(later.average > 3, `${later.average} runs on average`);
  t.false(holder.node.hasLoadedService('motions'));
  t.deepEqual(freeze.isWorkerCut ? unexcusedViolations(rig) : rig.violations(), []);
}

/**
 * Violations without the repeated runs that the platform allows: an end does not count if the leases of
 * its worker expired before it was acknowledged.
 */
function unexcusedViolations(rig: BatchRig): string[] {
  const runs = rig.fleet.runs();
  const repeated = runs.filter(
    ({ task, end, acknowledgedAt, endedAt = Infinity }) =>
      end === RunEnd.Done &&
      acknowledgedAt !== undefined &&
      acknowledgedAt - endedAt <= MAX_LEASE_MS &&
      runs.some((other) => other.task === task && other.startedAt > endedAt),
  );
  const overlaps = rig.violations().filter((violation) => violation.includes('overlap'));
  return [
    ...overlaps,
    ...repeated.map(({ task }) => `${task}: repeated after an acknowledged end`),
  ];
}

// Guards against a holder that resumes and starts tasks within a grant that its successor uses or has
// returned.
for (const situation of situations) {
  for (const ms of FREEZES_MS) {
    for (const isSuspended of [false, true]) {
      for (const isWorkerCut of [false, true]) {
        const clock = isSuspended
          ? 'its monotonic clock standing still'
          : 'its monotonic clock going on';
        const reach = isWorkerCut ? ', a worker out of reach of its successor' : '';
        test(`a holder frozen for ${ms} ms ${situation.name}, ${clock}${reach}`, (t) =>
          play(t, situation, { ms, isSuspended, isWorkerCut }));
      }
    }
  }
}
