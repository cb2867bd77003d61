import test, { type ExecutionContext } from 'ava';
import {
  BatchRig,
  FakeRowStore,
  required,
  StoreFault,
  type RigNode,
} from '../testing/batchRig/index.js';
import { createVirtualClock } from '../testing/index.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import { CallOutcome, type CallAnswer } from './gateway.js';
import { QueueAssignments } from './queueAssignments.js';
import { RefusalReason, type BatchConfig, type JobSpec, type Queue } from './types.js';

const QUEUE = 'motions';
const OTHER_SERVICE = 'standings';
const THIRD_SERVICE = 'portal';
const SERVICES = [QUEUE, OTHER_SERVICE, THIRD_SERVICE];
const WORKERS = 3;
/** Jobs of which each takes a worker, so that the others wait. */
const JOBS = 12;
const WAITING = JOBS - WORKERS;
/** Time within which the nodes follow a configuration. */
const CONFIG_MS = 2_000;

interface Case {
  title: string;
  /** Called once {@link JOBS} jobs were submitted and {@link WORKERS} of them have begun. */
  run: (t: ExecutionContext, rig: BatchRig, jobs: JobSpec[]) => Promise<void>;
}

/** The queue as a node knows it, which has kept its path. */
function queueAt({ node }: RigNode): Queue {
  const queues = required(node.config).queues;
  return required(queues.find(({ pathPrefix }) => pathPrefix === `/${QUEUE}/`));
}

async function submit(rig: BatchRig, node: RigNode, spec: JobSpec): Promise<CallAnswer> {
  return rig.settle(node.node.gateway.submit(queueAt(node), spec, 3_000));
}

async function submitMany(rig: BatchRig, count: number): Promise<JobSpec[]> {
  const node = required(rig.nodes[0]);
  const jobs = Array.from({ length: count }, () =>
    rig.createJob(QUEUE, [{ count: 1, cpuMillis: 4_000 }]),
  );
  for (const spec of jobs) await submit(rig, node, spec);
  return jobs;
}

/** The counts that the live nodes answer with. */
async function counts(rig: BatchRig): Promise<(number | undefined)[]> {
  const live = rig.nodes.filter(({ isDead }) => !isDead);
  const answers = live.map((node) => node.node.gateway.pending(queueAt(node)));
  return (await rig.settle(Promise.all(answers))).map(({ pending }) => pending);
}

async function move(rig: BatchRig, version: number, service: string): Promise<void> {
  rig.configure({ version, services: SERVICES, movedQueues: { [QUEUE]: service } });
  await rig.advance(CONFIG_MS);
}

// Guard against jobs that are left out, or that a node takes for unknown, because they wait at the service
// to which their queue was assigned when they were accepted.
const cases: Case[] = [
  {
    title: 'jobs that wait at the former service of their queue are counted',
    run: async (t, rig) => {
      t.deepEqual(await counts(rig), [WAITING, WAITING, WAITING]);
      await move(rig, 2, OTHER_SERVICE);
      t.deepEqual(await counts(rig), [WAITING, WAITING, WAITING]);
    },
  },
  {
    title: 'the jobs of all services of a queue are counted, also after it has moved back',
    run: async (t, rig) => {
      await move(rig, 2, OTHER_SERVICE);
      await submitMany(rig, WORKERS + 2);
      await move(rig, 3, THIRD_SERVICE);
      await submitMany(rig, WORKERS + 1);
      await rig.advance(1_000);
      const expected = WAITING + 2 + 1;
      t.deepEqual(await counts(rig), [expected, expected, expected]);
      await move(rig, 4, QUEUE);
      t.deepEqual(await counts(rig), [expected, expected, expected]);
    },
  },
  {
    title: 'a node that has started after a queue has moved counts its earlier jobs',
    run: async (t, rig) => {
      await move(rig, 2, OTHER_SERVICE);
      rig.addNode('node-3');
      await rig.advance(3_000);
      t.deepEqual(await counts(rig), [WAITING, WAITING, WAITING, WAITING]);
    },
  },
  {
    title: 'a queue that has another name and service than before keeps its jobs',
    run: async (t, rig) => {
      rig.configure({
        version: 2,
        services: SERVICES,
        movedQueues: { [QUEUE]: OTHER_SERVICE },
        queueNames: { [QUEUE]: 'renamed' },
      });
      await rig.advance(CONFIG_MS);
      t.deepEqual(await counts(rig), [WAITING, WAITING, WAITING]);
    },
  },
  {
    title: 'jobs of another queue that has taken over the name are not counted',
    run: async (t, rig) => {
      rig.configure({
        version: 2,
        services: SERVICES,
        queueNames: { [QUEUE]: 'renamed', [OTHER_SERVICE]: QUEUE },
      });
      await rig.advance(CONFIG_MS);
      const other = required(rig.nodes[0]).node;
      const queue = required(other.config?.queues.find(({ name }) => name === QUEUE));
      t.is((await rig.settle(other.gateway.pending(queue))).pending, 0);
    },
  },
  {
    title: 'no count is given while the holder of a former service cannot be reached',
    run: async (t, rig) => {
      await move(rig, 2, OTHER_SERVICE);
      const former = required(rig.holderOf(QUEUE));
      const node = required(rig.nodes.find((other) => other !== former));
      rig.cutLink(node.name, former.name);
      const answer = await rig.settle(node.node.gateway.pending(queueAt(node)));
      t.is(answer.outcome, CallOutcome.Refused);
      t.is(answer.reason, RefusalReason.HolderUnreachable);
    },
  },
  {
    // Guards against the statement that a job never runs, although its former service runs it.
    title: 'a job that the former service has is not refused by a node that cannot reach the store',
    run: async (t, rig, jobs) => {
      await move(rig, 2, OTHER_SERVICE);
      const node = required(rig.nodes.find((other) => other !== rig.holderOf(QUEUE)));
      rig.store.faults.set(node.name, StoreFault.DropCall);
      await rig.advance(2_500);
      for (const spec of [required(jobs[0]), required(jobs[JOBS - 1])])
        t.is((await submit(rig, node, spec)).outcome, CallOutcome.Ok);
    },
  },
];

for (const { title, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig({ services: SERVICES, workersPerService: WORKERS });
    rig.fleet.script = () => ({ runMs: 60_000 });
    await rig.ready(SERVICES);
    const jobs = await submitMany(rig, JOBS);
    t.true(await rig.until(() => rig.fleet.runs().length === WORKERS));
    await rig.advance(500);
    await run(t, rig, jobs);
    t.deepEqual(rig.violations(), []);
  });
}

// Guards against a count that leaves out the jobs of a service whose assignment was recorded by a node with
// an earlier configuration, after this node had read the assignments.
test('an assignment that another node records late is known once all nodes follow the configuration', async (t) => {
  const clock = createVirtualClock();
  const store = new FakeRowStore(clock);
  const createAssignments = (node: string, version: number) =>
    new QueueAssignments({
      store: store.clientOf(node),
      clock,
      log: new DecisionLog({ write: () => true }, clock),
      counters: new Counters(),
      config: () => ({ version }) as BatchConfig,
    });
  const lagging = createAssignments('lagging', 1);
  const current = createAssignments('current', 2);
  const path = { host: 'host', pathPrefix: `/${QUEUE}/` };
  t.is(current.known(path), undefined);
  await clock.advance(100);
  t.deepEqual(current.known(path), []);
  const recorded = lagging.record(path, QUEUE);
  await clock.advance(100);
  t.true((await recorded).isOk);
  await clock.advance(6_000);
  t.is(current.known(path), undefined);
  await clock.advance(100);
  t.deepEqual(current.known(path), [QUEUE]);
});
