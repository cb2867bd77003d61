import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { BatchRig, required, type RigNode } from '../testing/batchRig/index.js';
import { CallOutcome } from './gateway.js';
import { Job } from './job.js';
import { decodeJob, decodeProgress, encodeJob, withStepDefaults } from './jobCodec.js';
import { decodeNodeAnswer, decodeNodeCall, NodeCallKind } from './nodeCalls.js';
import { decodeRosterRow } from './recovery.js';
import { inboxKey, jobKey, rosterKey } from './rows.js';
import { JobState, type JobSpec } from './types.js';

const SERVICE = 'motions';
const PROPERTY_PARAMETERS = { numRuns: 500, seed: 20_261_205 };

/** Can be parsed, but neither encoded nor walked through by recursion. */
const NESTED = '['.repeat(50_000) + ']'.repeat(50_000);

const spec: JobSpec = {
  id: '00000000000000aa',
  queue: SERVICE,
  payload: '',
  steps: [withStepDefaults({ count: 2, cpuMillis: 500, memoryMb: 100, estimateMs: 500 })],
  occurrences: 0,
  firstDueMs: 0,
  periodMs: 0,
  acceptedMs: 0,
};

/** Values of a row that no version of the program writes. */
const malformedValues = ['', 'null', '7', '"text"', '[]', '{}', NESTED, `{"steps":${NESTED}}`];

const malformedJobFields: [title: string, fields: object][] = [
  ['no steps', { steps: [] }],
  ['steps of another type', { steps: [7] }],
  ['a fractional count', { steps: [{ count: 1.5 }] }],
  ['more tasks than fit into memory', { steps: [{ count: 1e9 }] }],
  ['a count of another type', { steps: [{ count: '2' }] }],
  ['a step that depends on itself', { steps: [{ after: [0] }] }],
  ['dependencies of another type', { steps: [{ after: 'all' }] }],
  ['negative resources', { steps: [{ cpuMillis: -1 }] }],
  ['a label of another type', { steps: [{ requiredLabel: 7 }] }],
  ['a fractional number of occurrences', { occurrences: 1.5, periodMs: 5 }],
  ['occurrences without a period', { occurrences: 3 }],
  ['a payload of another type', { payload: 7 }],
  ['an account of another type', { account: 7 }],
  ['no queue', { queue: undefined }],
  ['no time of acceptance', { acceptedMs: undefined }],
];

for (const [title, fields] of malformedJobFields) {
  // Guards against a stored job that ends each process that loads it, one after another.
  test(`a job row with ${title} cannot be decoded`, (t) => {
    t.true(decodeJob(encodeJob(spec)).isOk);
    t.true(decodeJob(JSON.stringify({ ...spec, ...fields })).isErr);
    const call = { kind: NodeCallKind.Submit, service: SERVICE };
    t.truthy(decodeNodeCall({ ...call, spec }));
    const steps = 'steps' in fields ? (fields.steps as object[]) : undefined;
    const complete = { ...spec, ...fields, ...(steps && { steps: steps.map(withDefaults) }) };
    t.is(decodeNodeCall({ ...call, spec: complete }), undefined);
  });
}

const withDefaults = (step: unknown): unknown =>
  typeof step === 'object' && step !== null ? { ...withStepDefaults({}), ...step } : step;

test('decoders of stored rows and node messages do not throw on arbitrary values', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.string(), (value, text) => {
      for (const row of [JSON.stringify(value), text, ...malformedValues]) {
        decodeJob(row);
        decodeRosterRow('w', row);
        new Job(spec, 0, 1).applyProgress(row);
      }
      decodeNodeCall(value);
      decodeNodeAnswer(value);
    }),
    { ...PROPERTY_PARAMETERS, numRuns: 50 },
  );
  t.pass();
});

const malformedProgress: [title: string, progress: object, unreadable: number][] = [
  ['more ended occurrences than the job has', { ended: 5 }, 1],
  ['a fractional number of ended occurrences', { ended: 0.5 }, 1],
  ['a task of an occurrence that the job does not have', { done: { '7.0': [0] } }, 1],
  ['a task of a step that the job does not have', { done: { '0.7': [0] } }, 1],
  ['a task beyond the number of tasks', { done: { '0.0': [1e9] } }, 1],
  ['indexes of another type', { done: { '0.0': 'all' } }, 1],
  ['failures of another type', { failures: { '0.0.1': [{}] } }, 1],
  ['crashes with an unknown role', { crashes: { '0.0.1': [[1, 'unknown']] } }, 1],
  ['a suspect run without a worker', { suspectRuns: { '0.0.1': { run: 1 } } }, 1],
  ['a key of another form', { failures: { 'constructor.0': [1] } }, 1],
];

for (const [title, progress, unreadable] of malformedProgress) {
  // Guards against tasks that run again, or a job shown as done, because of one malformed entry.
  test(`a progress row with ${title} keeps its other entries`, (t) => {
    const job = new Job({ ...spec, steps: [...spec.steps, ...spec.steps] }, 0, 1);
    job.createDueOccurrences(0);
    const { done = {} } = progress as { done?: object };
    const row = { failures: {}, ...progress, done: { '0.1': [1], ...done } };
    t.true(job.applyProgress(JSON.stringify(row)).isOk);
    t.is(job.unreadableEntries, unreadable);
    t.true(job.task(0, 1, 1)?.isDone);
    t.false(job.isComplete);
  });
}

test('entries of a progress row that can be read survive arbitrary others', (t) => {
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (others) => {
      const row = { failures: {}, done: { ...others, '0.0': [0, 1] } };
      return decodeProgress(JSON.stringify(row))?.done['0.0']?.length === 2;
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('occurrences that fall due at once are opened as earlier ones end', (t) => {
  // Guards against a process that runs out of memory because of one job with many occurrences.
  const job = new Job({ ...spec, occurrences: 1e9, periodMs: 1 }, 0, 1);
  job.createDueOccurrences(1e12);
  t.is(job.occurrences.size, 2_500);
  for (const task of [...job.tasks()]) job.complete(task);
  t.is(job.occurrences.size, 0);
  job.createDueOccurrences(1e12);
  t.deepEqual([...job.occurrences.keys()].slice(0, 2), [2_500, 2_501]);
});

const load = {
  waitingCpu: 1,
  backlogCpu: 1,
  expectedCpu: 1,
  lastingCpu: 0,
  usedCpu: 1,
  capacityCpu: 1,
  spreadNeed: 0,
  workers: [{ id: 'w', runs: 1, lastingRuns: 0 }],
};

const malformedAnswers: [title: string, answer: object][] = [
  ['a load of another type', { load: 7 }],
  ['a load that is not finite', { load: { ...load, waitingCpu: Infinity } }],
  ['a load that is no number', { load: { ...load, expectedCpu: NaN } }],
  ['a load as a big integer', { load: { ...load, usedCpu: 2n ** 64n } }],
  ['a load without workers', { load: { ...load, workers: undefined } }],
  ['a worker without an id', { load: { ...load, workers: [{ runs: 1 }] } }],
  ['a negative number of runs', { load: { ...load, workers: [{ id: 'w', runs: -1 }] } }],
  ['a fractional number of workers', { load: { ...load, spreadNeed: 1.5 } }],
  ['an unknown state of a job', { state: 'resting' }],
  ['an unknown reason of a refusal', { submitted: { isAccepted: false, reason: 'none' } }],
  [
    'a Retry-After that is not finite',
    { submitted: { isAccepted: false, reason: 'full', retryAfterMs: Infinity } },
  ],
  ['a count of another type', { pending: { count: '3', ageMs: 1 } }],
  ['a number of runs of another type', { vacating: { isReady: true, runs: '0' } }],
];

for (const [title, answer] of malformedAnswers) {
  // Guards against pools that are sized by what another version of a node sends.
  test(`a node answer with ${title} is malformed`, (t) => {
    t.truthy(decodeNodeAnswer({ isHolder: true, load }));
    t.is(decodeNodeAnswer({ isHolder: true, ...answer }), undefined);
  });
}

interface RigCase {
  title: string;
  run: (t: ExecutionContext, rig: BatchRig, holder: RigNode, others: RigNode[]) => Promise<void>;
}

async function takesOver(rig: BatchRig, others: RigNode[]): Promise<boolean> {
  return rig.until(() => others.some(({ node }) => node.hasLoadedService(SERVICE)), 6_000);
}

async function runsJob(rig: BatchRig, { node }: RigNode): Promise<boolean> {
  const { id, ...job } = rig.createJob(SERVICE, [{ count: 2 }]);
  const answer = await rig.settle(node.gateway.submit(rig.queue(SERVICE), { id, ...job }, 3_000));
  if (answer.outcome !== CallOutcome.Ok) return false;
  await rig.advance(5_000);
  const { state } = await rig.settle(node.gateway.status(rig.queue(SERVICE), id));
  return state === JobState.Succeeded;
}

const nodeKey = (key: string) => ({ table: 'node', part: '', key });
const ownerKey = { table: 'owner', part: SERVICE, key: 'owner' };

const malformedOwners: [title: string, value: string][] = [
  [
    'an epoch out of range',
    '{"node":"x","incarnation":"x","epoch":1e300,"address":"x","isReleased":false}',
  ],
  [
    'an epoch of another type',
    '{"node":"x","incarnation":"x","epoch":"9","address":"x","isReleased":false}',
  ],
  ['no address', '{"node":"x","incarnation":"x","epoch":9,"isReleased":false}'],
  ['deeply nested fields', `{"node":${NESTED},"epoch":9}`],
  ['no JSON', 'owner'],
];

const rigCases: RigCase[] = [
  {
    // Guards against services without a holder: the row cannot be written back with a fence.
    title: 'a service is taken over although the node row of its holder has deeply nested fields',
    run: async (t, rig, holder, others) => {
      holder.isDead = true;
      const row = required(rig.store.rowsOfPart('node', '').find(({ key }) => key === holder.name));
      const value = row.value.replace('{', `{"extra":${NESTED},`);
      rig.store.put(nodeKey(holder.name), value);
      t.true(await takesOver(rig, others));
    },
  },
  ...malformedValues.map((value): RigCase => ({
    // Guards against services without a holder: the session in the row cannot be fenced.
    title: `a service is taken over although the node row of its holder is ${value.slice(0, 12)}`,
    run: async (t, rig, holder, others) => {
      holder.isDead = true;
      rig.store.put(nodeKey(holder.name), value);
      t.true(await takesOver(rig, others));
    },
  })),
  ...malformedValues.map((value): RigCase => ({
    title: `a service is taken over beside a node row with the value ${value.slice(0, 12)}`,
    run: async (t, rig, holder, others) => {
      rig.store.put(nodeKey('stranger'), value);
      await rig.advance(1_000);
      holder.isDead = true;
      t.true(await takesOver(rig, others));
      t.true(await runsJob(rig, required(others[0])));
    },
  })),
  ...malformedOwners.map(([title, value]): RigCase => ({
    // Guards against a holder that gives its service up, and a service that nobody claims again.
    title: `a service keeps its holder beside an owner row with ${title}, and gets the next one`,
    run: async (t, rig, holder, others) => {
      rig.store.put(ownerKey, value);
      await rig.advance(2_000);
      t.true(holder.node.hasLoadedService(SERVICE));
      holder.isDead = true;
      t.true(await takesOver(rig, others));
    },
  })),
  {
    title: 'a successor serves its jobs beside rows that cannot be decoded',
    run: async (t, rig, holder, others) => {
      const malformedSpecs = malformedJobFields.map(([, fields]) =>
        JSON.stringify({ ...spec, ...fields }),
      );
      for (const [index, value] of [...malformedValues, ...malformedSpecs].entries()) {
        rig.store.put(jobKey(SERVICE, `malformed-${index}`), value);
        rig.store.put(inboxKey(SERVICE, `malformed-inbox-${index}`), value);
        rig.store.put(rosterKey(SERVICE, `malformed-${index}`), value);
      }
      t.true(await runsJob(rig, holder));
      holder.isDead = true;
      t.true(await takesOver(rig, others));
      t.true(await runsJob(rig, required(others[0])));
      t.true(await runsJob(rig, required(others[1])));
    },
  },
];

for (const { title, run } of rigCases) {
  test(title, async (t) => {
    const rig = new BatchRig({ services: [SERVICE], nodes: 3 });
    await rig.ready([SERVICE]);
    const holder = required(rig.holderOf(SERVICE));
    const others = rig.nodes.filter((other) => other !== holder);
    await run(t, rig, holder, others);
    const lines = rig.nodes.flatMap(({ logLines }) => logLines);
    t.deepEqual(
      lines.filter((line) => line.includes('event=child_failed')),
      [],
    );
  });
}
