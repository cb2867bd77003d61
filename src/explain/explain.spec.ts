import { Result } from 'true-myth';
import test from 'ava';
import { digestOfKey, HeldReason, KeyRefusalReason, type Account } from '../accounts/index.js';
import { RefusalReason, type JobSpec, type StepSpec } from '../batch/index.js';
import { CallOutcome } from '../batch/gateway.js';
import { decodeNodeCall, NodeCallKind } from '../batch/nodeCalls.js';
import { PlaceReason } from '../places/index.js';
import {
  BatchRig,
  required,
  StoreFault,
  type BatchRigOptions,
  type RigNode,
} from '../testing/batchRig/index.js';
import {
  explainDefaults,
  ExplainOutcome,
  Unknown,
  WaitReason,
  type ExplainRequest,
} from './index.js';

const TIMEOUT_MS = 3_000;
/** Latency of a call between nodes of the rig. */
const LINK_LATENCY_MS = 1;
const NO_LIMIT = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

function account(name: string, fields: Partial<Account> = {}): Account {
  const keyDigests = [digestOfKey(`key-${name}`).toString('hex')];
  return { name, weight: 2, limit: NO_LIMIT, keyDigests, ...fields };
}

const accounts = [account('acme'), account('zenith', { weight: 1 })];
const limited = [account('acme', { limit: { ...NO_LIMIT, cpuMillis: 2_000 } })];

/** A question about a job of the queue `motions`. */
function question(rig: BatchRig, steps: Partial<StepSpec>[], owner?: string): ExplainRequest {
  const spec = rig.createJob('motions', steps);
  return {
    host: 'host',
    path: '/motions/',
    ...(owner === undefined ? {} : { key: `key-${owner}` }),
    decode: (identity) => Result.ok({ ...spec, ...identity }),
  };
}

function otherNode(rig: BatchRig): RigNode {
  return required(rig.nodes.find((node) => node !== rig.holderOf('motions')));
}

function explain(rig: BatchRig, steps: Partial<StepSpec>[], owner?: string, node?: RigNode) {
  return rig.settle((node ?? otherNode(rig)).node.explain(question(rig, steps, owner)));
}

function submit(rig: BatchRig, spec: JobSpec) {
  return required(rig.holderOf('motions')).node.gateway.submit(
    rig.queue('motions'),
    spec,
    TIMEOUT_MS,
  );
}

/** Submits jobs that run for long, and waits until all that can have started. */
async function fill(rig: BatchRig, jobs: Partial<StepSpec>[][], owner?: string): Promise<void> {
  rig.fleet.script = () => ({ runMs: 20_000 });
  for (const steps of jobs) {
    const fields = owner === undefined ? {} : { account: owner };
    const spec = rig.createJob('motions', steps, fields);
    await rig.settle(submit(rig, spec));
  }
  await rig.advance(300);
}

/** Steps whose placement depends on different rules. */
const stepsOfKinds: Partial<StepSpec>[][] = [
  [{ count: 3 }],
  [{ count: 2 }, { count: 2, after: [0] }],
  [{ count: 2, nearRack: 'r1-1', estimateMs: 2_000 }],
  [{ count: 2, isGang: true, isColocated: true }],
  [{ count: 2, maxPerWorker: 1, requiredLabel: 'big' }],
  [{ count: 1, isLasting: true, cpuMillis: 300 }],
  [{ count: 2, fillsSpare: true, allowsCopies: true }],
];

interface Scenario {
  title: string;
  options: BatchRigOptions;
  ticketLifeMs?: number;
  /** Names of the accounts that submit in turn; none if empty. */
  owners: string[];
  /** Whether some tasks crash their worker. */
  hasCrashes?: boolean;
}

const features = { learnsRunTimes: true, judgesWorkers: true, forecastsDemand: true };
const scenarios: Scenario[] = [
  { title: 'a plain deployment', options: {}, owners: [] },
  {
    title: 'accounts with limits under load, and all features',
    options: {
      accounts: [
        account('acme', { limit: { ...NO_LIMIT, cpuMillis: 6_000 } }),
        account('zenith', { weight: 1 }),
      ],
      features,
      remoteSlowdown: 2,
    },
    owners: ['acme', 'zenith'],
  },
  { title: 'tickets', options: { accounts }, ticketLifeMs: 2_000, owners: ['acme', 'zenith'] },
  { title: 'tasks that crash workers', options: { features }, owners: [], hasCrashes: true },
];

/** Runs jobs of all kinds for some seconds and returns all that can be observed of the nodes. */
async function observe(scenario: Scenario, asks: boolean) {
  const rig = new BatchRig({ workersPerService: 0, ...scenario.options });
  for (let number = 0; number < 4; number++)
    rig.addWorker(`w${number}`, 'motions', [`r1-${number % 2}`, number < 2 ? 'big' : 'small']);
  rig.ticketLifeMs = scenario.ticketLifeMs ?? 0;
  const accountList = scenario.options.accounts;
  rig.configure({ version: 2, services: ['motions'], accounts: accountList });
  rig.fleet.script = (task) => {
    const crashes = scenario.hasCrashes === true && task.startsWith('0000000000000005.');
    return crashes ? { runMs: 100, crashesWorker: true } : { runMs: 900 };
  };
  await rig.ready();
  let asked = 0;
  const outcomes = new Set<ExplainOutcome>();
  for (let round = 0; round < 60; round++) {
    const steps = required(stepsOfKinds[round % stepsOfKinds.length]);
    const owner = scenario.owners[round % Math.max(1, scenario.owners.length)];
    void submit(
      rig,
      rig.createJob('motions', steps, owner === undefined ? {} : { account: owner }),
    );
    for (const { node } of rig.nodes) {
      // Both runs create the spec, because it counts the ids of jobs.
      const request = question(rig, required(stepsOfKinds[(round * 3) % 7]), owner);
      if (asks) {
        void node.explain(request).then(({ outcome }) => {
          asked++;
          outcomes.add(outcome);
        });
      } else if (!node.hasLoadedService('motions')) {
        // The timers of a call over a link, because the rig runs the event loop once for each timer.
        void rig.clock
          .sleep(LINK_LATENCY_MS)
          .then(() => rig.clock.sleep(explainDefaults.holderTimeoutMs));
      }
    }
    await rig.advance(70);
  }
  await rig.advance(3_000);
  const nodes = rig.nodes.map(({ name, counters, logLines }) => {
    return {
      name,
      counters: [...counters.entries()],
      latencies: [...counters.latencies()],
      logLines,
    };
  });
  const { store, fleet, adviceCalls } = rig;
  const runs = fleet.runs();
  return {
    asked,
    outcomes,
    state: { nodes, calls: store.calls, rows: store.rows, runs, adviceCalls },
  };
}

// Guards against an explanation that stores, reserves, counts, logs, sends or draws something: the
// whole history of the deployment, with every counter and log line, has to be that without it.
for (const scenario of scenarios) {
  test(`explanations change nothing: ${scenario.title}`, async (t) => {
    const without = await observe(scenario, false);
    const asking = await observe(scenario, true);
    t.is(asking.asked, 180);
    t.true([...asking.outcomes].some((outcome) => outcome !== ExplainOutcome.Unknown));
    t.true(without.state.runs.length > 50);
    t.deepEqual(asking.state, without.state);
  });
}

interface PlacementCase {
  title: string;
  steps: Partial<StepSpec>[];
  /** Jobs that run before. */
  before?: Partial<StepSpec>[][];
  remoteSlowdown?: number;
}

const placementCases: PlacementCase[] = [
  { title: 'an empty pool', steps: [{ count: 5 }] },
  { title: 'the most utilized worker', steps: [{}], before: [[{ cpuMillis: 2_500 }]] },
  { title: 'a long-running step', steps: [{ count: 3, isLasting: true }], before: [[{}]] },
  { title: 'the rack of the data', steps: [{ nearRack: 'r1-2', count: 2 }], before: [[{}]] },
  { title: 'a rack by decision', steps: [{ nearRack: 'r1-2', count: 2 }], remoteSlowdown: 2 },
  { title: 'a required label', steps: [{ requiredLabel: 'r1-1', count: 2 }] },
  { title: 'a number for each worker', steps: [{ maxPerWorker: 1, count: 3 }] },
  { title: 'a colocated gang', steps: [{ isGang: true, isColocated: true, count: 3 }] },
  { title: 'a second step', steps: [{ count: 2 }, { count: 2, after: [0] }, { count: 1 }] },
];

// Guards against a second copy of the rules that differs from what the holder does.
for (const { title, steps, before = [], remoteSlowdown } of placementCases) {
  test(`tasks start where the explanation says: ${title}`, async (t) => {
    const rig = new BatchRig({ workersPerService: 0, nodes: 2, remoteSlowdown });
    for (let number = 0; number < 3; number++)
      rig.addWorker(`w${number}`, 'motions', [`r1-${number}`]);
    await rig.ready();
    await fill(rig, before);
    const { outcome, job, unknown } = await explain(rig, steps);
    t.is(outcome, ExplainOutcome.Placed);
    t.deepEqual(unknown, []);
    const spec = rig.createJob('motions', steps);
    await rig.settle(submit(rig, spec));
    await rig.advance(100);
    const started = [...rig.fleet.executors.values()].flatMap(({ record, observedRuns }) =>
      observedRuns
        .filter(({ task }) => task.startsWith(spec.id))
        .map(({ task }) => `${task.slice(spec.id.length + 3)} ${record.id}`),
    );
    const expected = required(job).tasks.map(({ step, task, worker }) => {
      return `${step}.${task} ${worker ?? 'none'}`;
    });
    t.deepEqual(expected.sort(), started.sort());
  });
}

const full = [[{ count: 3, cpuMillis: 4_000 }]];

interface WaitCase {
  title: string;
  options?: BatchRigOptions;
  ticketLifeMs?: number;
  before?: Partial<StepSpec>[][];
  owner?: string;
  steps: Partial<StepSpec>[];
  waitsFor: WaitReason;
  reason?: HeldReason | PlaceReason;
  leftOut: Record<string, number>;
  unknown?: Unknown[];
}

const waitCases: WaitCase[] = [
  {
    title: 'a full pool',
    before: full,
    steps: [{}],
    waitsFor: WaitReason.Worker,
    leftOut: { no_capacity: 3 },
  },
  {
    title: 'a label that no worker has',
    steps: [{ requiredLabel: 'gpu' }],
    waitsFor: WaitReason.Worker,
    leftOut: { no_label: 3 },
  },
  {
    title: 'the limit of the account',
    options: { accounts: limited },
    owner: 'acme',
    before: [[{ cpuMillis: 2_000 }]],
    steps: [{ cpuMillis: 1_000 }],
    waitsFor: WaitReason.AccountLimit,
    reason: HeldReason.NoGrant,
    leftOut: {},
    unknown: [Unknown.Grant],
  },
  {
    title: 'tickets',
    ticketLifeMs: 2_000,
    steps: [{}],
    waitsFor: WaitReason.Tickets,
    leftOut: {},
    unknown: [Unknown.Tickets],
  },
];

for (const each of waitCases) {
  const { title, options, ticketLifeMs = 0, before = [], owner, steps, leftOut } = each;
  test(`a task waits for ${title}`, async (t) => {
    const rig = new BatchRig({ nodes: 2, ...options });
    rig.ticketLifeMs = ticketLifeMs;
    const accountList = options?.accounts;
    rig.configure({ version: 2, services: ['motions'], accounts: accountList });
    await rig.ready();
    await fill(rig, before, owner);
    const { outcome, job, unknown, account: found } = await explain(rig, steps, owner);
    t.is(outcome, ExplainOutcome.Waits);
    t.is(found, owner);
    const task = required(job?.tasks[0]);
    t.is(task.waitsFor, each.waitsFor);
    t.is(task.reason, each.reason);
    t.deepEqual(required(job?.leftOut[0]).reasons, leftOut);
    t.deepEqual(unknown, each.unknown ?? []);
  });
}

test('workers that get no runs are counted by reason', async (t) => {
  const rig = new BatchRig({ nodes: 2, workersPerService: 4 });
  await rig.ready();
  const [draining, silent] = [...rig.fleet.executors.values()];
  const { record } = required(draining);
  required(draining).record = { ...record, isDraining: true };
  rig.register(required(draining));
  required(silent).crash();
  await rig.advance(3_000);
  const { job } = await explain(rig, [{ cpuMillis: 5_000 }]);
  t.deepEqual(required(job?.leftOut[0]).reasons, { draining: 1, silent: 1, no_capacity: 2 });
});

test('the steps placed before the job are listed, most urgent first', async (t) => {
  const rig = new BatchRig({ nodes: 2 });
  await rig.ready();
  await fill(rig, [...full, [{ estimateMs: 100 }], [{ estimateMs: 5_000 }]]);
  const job = required((await explain(rig, [{ estimateMs: 1_000 }])).job);
  t.is(job.waitingSteps, 2);
  t.is(job.stepsAhead, 1);
  // The holder's second job is the one with the least slack.
  t.deepEqual(job.ahead, [{ job: '0000000000000002', step: 0, tasks: 1 }]);
});

test('a refusal under load names the reason and the Retry-After that a caller would get', async (t) => {
  const rig = new BatchRig({ nodes: 2, accounts });
  await rig.ready();
  rig.fleet.script = () => ({ runMs: 500 });
  const job = () => rig.createJob('motions', [{ cpuMillis: 4_000 }], { account: 'acme' });
  // All are accepted, as the rate at which work ends is not known yet.
  for (let sent = 0; sent < 200; sent++) void submit(rig, job());
  await rig.advance(2_500);
  // Uses up what the account may submit within its rate.
  for (let sent = 0; sent < 10; sent++) void submit(rig, job());
  await rig.advance(20);
  // Both are decided at the same time, by the same state.
  const request = question(rig, [{ cpuMillis: 4_000 }], 'acme');
  const explaining = required(rig.holderOf('motions')).node.explain(request);
  const answering = submit(rig, job());
  const explained = await rig.settle(explaining);
  const answer = await rig.settle(answering);
  t.is(answer.outcome, CallOutcome.Refused);
  t.is(explained.outcome, ExplainOutcome.Refused);
  t.is(explained.refusal?.reason, RefusalReason.Hopeless);
  t.is(answer.reason, RefusalReason.Hopeless);
  t.true(explained.unknown.includes(Unknown.RetryJitter));
  t.true(required(explained.job).isBeyondRate);
  const expectedMs = required(explained.refusal?.retryAfterMs);
  const gotMs = required(answer.retryAfterMs);
  // The answer has up to a quarter more at random, and the explanation rounds up.
  t.true(gotMs >= expectedMs - 1 && gotMs <= expectedMs * 1.25, `${gotMs} for ${expectedMs}`);
});

test('keys and queues are checked as for a submission, and nothing of the key is reported', async (t) => {
  const rig = new BatchRig({ nodes: 2, accounts });
  await rig.ready();
  const { node, logLines } = otherNode(rig);
  const ask = (fields: Partial<ExplainRequest>) =>
    rig.settle(node.explain({ ...question(rig, [{}]), ...fields }));
  const missing = await ask({});
  t.is(missing.outcome, ExplainOutcome.Unauthorized);
  t.is(missing.keyProblem, KeyRefusalReason.MissingKey);
  const wrong = await ask({ key: 'guess' });
  t.is(wrong.keyProblem, KeyRefusalReason.UnknownKey);
  const right = await ask({ key: 'key-acme' });
  t.is(right.outcome, ExplainOutcome.Placed);
  t.is(right.account, 'acme');
  t.is((await ask({ path: '/none/' })).outcome, ExplainOutcome.NoQueue);
  t.notRegex(JSON.stringify([missing, wrong, right, logLines]), /guess|key-acme/);
});

test('an unreachable holder is reported, and what the asked node knows', async (t) => {
  const rig = new BatchRig({ nodes: 2 });
  await rig.ready();
  const holder = required(rig.holderOf('motions'));
  const asked = otherNode(rig);
  rig.cutLink(asked.name, holder.name);
  const explained = await explain(rig, [{}], undefined, asked);
  t.is(explained.outcome, ExplainOutcome.Unknown);
  t.deepEqual(explained.unknown, [Unknown.HolderUnreachable]);
  t.is(explained.holder, holder.name);
  t.is(explained.queue, 'motions');
  t.is(explained.job, undefined);
});

test('a node that the store does not answer refuses, as it does for a submission', async (t) => {
  const rig = new BatchRig({ nodes: 2 });
  await rig.ready();
  const asked = otherNode(rig);
  rig.store.faults.set(asked.name, StoreFault.Refuse);
  await rig.advance(3_000);
  const { outcome, refusal } = await explain(rig, [{}], undefined, asked);
  t.is(outcome, ExplainOutcome.Refused);
  t.is(refusal?.reason, RefusalReason.StoreSuspect);
});

test('a malformed call of another node is rejected', (t) => {
  const call = { service: 'motions', kind: NodeCallKind.Explain };
  t.is(decodeNodeCall(call), undefined);
  t.is(decodeNodeCall({ ...call, spec: { id: 'explained' } }), undefined);
});
