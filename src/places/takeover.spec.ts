import test, { type ExecutionContext } from 'ava';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from '../batch/gateway.js';
import { JobState, type StepSpec } from '../batch/types.js';

const SERVICE = 'motions';

interface Zone {
  rig: BatchRig;
  holder: RigNode;
  /** Submits a job of one step and returns its id. */
  submit: (step: Partial<StepSpec>) => Promise<string>;
  /** Worker and start of the first run of a job, relative to the submission of the job. */
  startOf: (id: string) => { worker: string; afterMs: number } | undefined;
}

/** A service with a worker on each of two racks; `near` of rack r1-1 is full for `busyMs`. */
async function busyZone(
  busyMs: number,
  remoteSlowdown?: number,
  estimateMs = busyMs,
): Promise<Zone> {
  const rig = new BatchRig({ workersPerService: 0, remoteSlowdown });
  rig.addWorker('near', SERVICE, ['std', 'r1-1']);
  rig.addWorker('far', SERVICE, ['std', 'r1-2']);
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  const submittedAt = new Map<string, number>();
  const submit = async (step: Partial<StepSpec>) => {
    const spec = rig.createJob(SERVICE, [step]);
    submittedAt.set(spec.id, rig.clock.now());
    const answer = await rig.settle(holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
    if (answer.outcome !== CallOutcome.Ok) throw new Error('the job was not accepted');
    return spec.id;
  };
  const busyTasks = new Set<string>();
  rig.fleet.script = (task) => ({ runMs: busyTasks.has(task.split('.')[0] ?? '') ? busyMs : 500 });
  const busy = rig.createJob(SERVICE, [
    { count: 4, nearRack: 'r1-1', estimateMs, requiredLabel: 'r1-1' },
  ]);
  busyTasks.add(busy.id);
  await rig.settle(holder.node.gateway.submit(rig.queue(SERVICE), busy, 3_000));
  await rig.until(() => rig.fleet.runs().length === 4);
  const startOf = (id: string) => {
    const run = rig.fleet.runs().find(({ task }) => task.startsWith(id));
    return run && { worker: run.worker, afterMs: run.startedAt - (submittedAt.get(id) ?? 0) };
  };
  return { rig, holder, submit, startOf };
}

const placeLines = ({ logLines }: RigNode) =>
  logLines.filter((line) => line.includes('event=place_wait_'));

interface Case {
  title: string;
  run: (t: ExecutionContext) => Promise<void>;
}

const cases: Case[] = [
  {
    title: 'a task of a served job waits for its rack, and the holder counts and logs it',
    run: async (t) => {
      const { rig, holder, submit, startOf } = await busyZone(700, 3);
      const id = await submit({ count: 1, nearRack: 'r1-1', estimateMs: 1_000 });
      t.true(await rig.until(() => startOf(id) !== undefined));
      t.is(startOf(id)?.worker, 'near');
      t.is(holder.counters.value('place_waits', 'begun'), 1);
      t.is(holder.counters.value('place_waits', 'paid_off'), 1);
      t.true(holder.counters.value('place_wait_ms', 'saved') > 1_000);
      t.regex(placeLines(holder)[0] ?? '', new RegExp(`place_wait_begun .*job=${id} .*rack=r1-1`));
      t.regex(placeLines(holder)[1] ?? '', /place_wait_ended .*paid_off=1 given_up=0/);
    },
  },
  {
    // Guards against waits on deployments without a slowdown.
    title: 'without a slowdown a task starts elsewhere at once',
    run: async (t) => {
      const { rig, holder, submit, startOf } = await busyZone(700);
      const id = await submit({ count: 1, nearRack: 'r1-1', estimateMs: 1_000 });
      t.true(await rig.until(() => startOf(id) !== undefined));
      t.is(startOf(id)?.worker, 'far');
      t.true((startOf(id)?.afterMs ?? Infinity) < 100);
      t.deepEqual(placeLines(holder), []);
    },
  },
  {
    // Guards against tasks that wait on for a rack that died.
    title: 'a task starts elsewhere when the rack that it waits for dies',
    run: async (t) => {
      const { rig, submit, startOf } = await busyZone(700, 3);
      const id = await submit({ count: 1, nearRack: 'r1-1', estimateMs: 1_000 });
      await rig.advance(100);
      t.is(startOf(id), undefined);
      const near = required(rig.fleet.executors.get('near'));
      near.crash();
      near.refusesConnections = true;
      t.true(await rig.until(() => startOf(id) !== undefined));
      t.is(startOf(id)?.worker, 'far');
      t.true((startOf(id)?.afterMs ?? Infinity) < 700, `after ${startOf(id)?.afterMs} ms`);
    },
  },
  {
    // Guards against a second full wait after a takeover.
    title: 'a task that waited under the last holder does not wait again under the next',
    run: async (t) => {
      const { rig, holder, submit, startOf } = await busyZone(12_000, 3, 600);
      // The next holder, too, expects the rack to be free soon, as the estimates are too low.
      const id = await submit({ count: 1, nearRack: 'r1-1', estimateMs: 10_000 });
      const far = required(rig.fleet.executors.get('far'));
      far.record = { ...far.record, isDraining: true };
      rig.register(far);
      await rig.advance(300);
      rig.store.faults.set(holder.name, StoreFault.DropCall);
      const isTaken = () => rig.nodes.some((node) => node !== holder && isHolder(node));
      t.true(await rig.until(isTaken, 6_000));
      far.record = { ...far.record, isDraining: false };
      rig.register(far);
      const successor = required(rig.nodes.find((node) => node !== holder && isHolder(node)));
      t.true(await rig.until(() => startOf(id) !== undefined, 4_000));
      t.is(successor.counters.value('place_waits', 'begun'), 0);
      await rig.advance(2_000);
      const { state } = await rig.settle(successor.node.gateway.status(rig.queue(SERVICE), id));
      t.is(state, JobState.Succeeded);
      t.deepEqual(rig.violations(), []);
    },
  },
];

const isHolder = ({ node }: RigNode) => node.hasLoadedService(SERVICE);

for (const { title, run } of cases) test(title, run);
