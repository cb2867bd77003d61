import test from 'ava';
import fc from 'fast-check';
import { Job, type Step } from './job.js';
import { withStepDefaults } from './jobCodec.js';
import { placeSteps } from './placement.js';
import type { StepSpec } from './types.js';
import { createRun, RunPhase, Worker } from './worker.js';

function worker(id: string, labels: string[] = [], cpuMillis = 4_000): Worker {
  const capacity = { cpuMillis, memoryMb: 8_000, accelerators: 0 };
  const registration = { address: '', zone: '', isDraining: false, bornMs: 0 };
  const created = new Worker({ id, service: 's', capacity, labels, ...registration });
  created.isAdmitted = true;
  return created;
}

function steps(...specs: Partial<StepSpec>[]): Step[] {
  return specs.map((spec, number) => {
    const job = new Job(
      {
        id: `job${number}`,
        queue: 'q',
        payload: '',
        steps: [withStepDefaults({ cpuMillis: 1_000, memoryMb: 100, ...spec })],
        occurrences: 0,
        firstDueMs: 0,
        periodMs: 0,
        acceptedMs: 0,
      },
      0,
      1,
    );
    job.createDueOccurrences(0);
    const step = job.occurrences.get(0)?.steps[0];
    if (!step) throw new Error('a job without a step');
    return step;
  });
}

/** Runs a placement round and returns `task index@worker` for each assignment. */
function place(waiting: Step[], workers: Worker[], mayRestart = true): string[] {
  const placed: string[] = [];
  placeSteps({ steps: waiting, workers, now: 0, mayRestart }, ({ task, worker: chosen }) => {
    const start = { task, worker: chosen, number: 1, phase: RunPhase.Starting, startedAt: 0 };
    const run = createRun(start);
    task.step.job.attach(task, run);
    chosen.add(run);
    placed.push(`${task.index}@${chosen.record.id}`);
  });
  return placed;
}

interface Case {
  title: string;
  specs: Partial<StepSpec>[];
  workers: () => Worker[];
  expected: string[];
}

const cases: Case[] = [
  {
    title: 'tasks fill one worker before the next',
    specs: [{ count: 5 }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@a', '2@a', '3@a', '4@b'],
  },
  {
    title: 'a step runs only on a worker with the required label',
    specs: [{ count: 1, requiredLabel: 'big' }],
    workers: () => [worker('a'), worker('b', ['big'])],
    expected: ['0@b'],
  },
  {
    title: 'a task waits if no worker has the required label',
    specs: [{ count: 1, requiredLabel: 'big' }],
    workers: () => [worker('a')],
    expected: [],
  },
  {
    title: 'a worker gets no more tasks of a step than maxPerWorker',
    specs: [{ count: 4, maxPerWorker: 1 }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@b'],
  },
  {
    title: 'a worker on the rack of the input data is preferred',
    specs: [{ count: 1, nearRack: 'r2' }],
    workers: () => [worker('a', ['r1']), worker('b', ['r2'])],
    expected: ['0@b'],
  },
  {
    title: 'all tasks of a gang start together',
    specs: [{ count: 6, isGang: true }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@a', '2@a', '3@a', '4@b', '5@b'],
  },
  {
    title:
      'a gang that does not fit as a whole starts no task and leaves the resources to other steps',
    specs: [{ count: 9, isGang: true }, { count: 1 }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a'],
  },
  {
    title: 'a smaller task is placed where a larger one does not fit',
    specs: [{ count: 1, cpuMillis: 9_000 }, { count: 1 }],
    workers: () => [worker('a')],
    expected: ['0@a'],
  },
  {
    title: 'a best-effort task needs no unreserved CPU, but free memory',
    specs: [{ count: 4 }, { count: 9, cpuMillis: 4_000, memoryMb: 2_500, fillsSpare: true }],
    workers: () => [worker('a')],
    expected: ['0@a', '1@a', '2@a', '3@a', '0@a', '1@a', '2@a'],
  },
  {
    title: 'tasks of a long-running step are spread over workers',
    specs: [{ count: 2, isLasting: true }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@b'],
  },
];

for (const { title, specs, workers, expected } of cases) {
  test(title, (t) => {
    t.deepEqual(place(steps(...specs), workers()), expected);
  });
}

test('a worker that is draining, vacating, unresponsive or not admitted gets no tasks', (t) => {
  const draining = worker('a');
  draining.record = { ...draining.record, isDraining: true };
  const vacating = worker('b');
  vacating.isVacating = true;
  const unresponsive = worker('c');
  unresponsive.unansweredCalls = 1;
  const notAdmitted = worker('d');
  notAdmitted.isAdmitted = false;
  t.deepEqual(place(steps({ count: 1 }), [draining, vacating, unresponsive, notAdmitted]), []);
});

test('a lost task waits until ownership of the service is certain', (t) => {
  const [step] = steps({ count: 2 });
  if (!step?.tasks[0]) throw new Error('no task');
  step.tasks[0].hasLostRun = true;
  t.deepEqual(place([step], [worker('a')], false), ['1@a']);
  t.deepEqual(place([step], [worker('a')], true), ['0@a']);
});

test('the worker on which a task failed is avoided while others are available', (t) => {
  const [step] = steps({ count: 1 });
  if (!step?.tasks[0]) throw new Error('no task');
  step.tasks[0].avoid = 'a';
  t.deepEqual(place([step], [worker('a'), worker('b')]), ['0@b']);
});

/** Reference implementation without an index, for tasks without a preference among workers. */
function placeNaively(waiting: Step[], workers: Worker[]): string[] {
  const used = new Map(workers.map((each) => [each, each.cpuUsed]));
  const placed: string[] = [];
  for (const { spec, tasks } of waiting) {
    for (const { index } of tasks) {
      let best: Worker | undefined;
      let bestShare = -Infinity;
      for (const each of workers) {
        const { cpuMillis } = each.record.capacity;
        const cpuUsed = used.get(each) ?? 0;
        const share = cpuUsed / cpuMillis + (each.consecutiveFailures > 1 ? -8 : 0);
        if (cpuUsed + spec.cpuMillis > cpuMillis || share <= bestShare) continue;
        best = each;
        bestShare = share;
      }
      if (!best) break;
      used.set(best, (used.get(best) ?? 0) + spec.cpuMillis);
      placed.push(`${index}@${best.record.id}`);
    }
  }
  return placed;
}

// Guards against the index choosing a different worker than a scan of all workers would.
test('the index chooses the most utilized worker that fits, failing workers last', (t) => {
  const workerFields = fc.record({
    cores: fc.integer({ min: 1, max: 8 }),
    usedShare: fc.integer({ min: 0, max: 4 }),
    failures: fc.integer({ min: 0, max: 3 }),
  });
  const step = fc.record({
    count: fc.integer({ min: 1, max: 6 }),
    cores: fc.integer({ min: 1, max: 4 }),
  });
  const property = fc.property(
    fc.array(workerFields, { maxLength: 8 }),
    fc.array(step, { maxLength: 8 }),
    (workerSpecs, specs) => {
      const workers = workerSpecs.map(({ cores, usedShare, failures }, index) => {
        const created = worker(`w${index}`, [], cores * 1_000);
        created.cpuUsed = usedShare * cores * 250;
        created.consecutiveFailures = failures;
        return created;
      });
      const waiting = steps(
        ...specs.map(({ count, cores }) => ({ count, cpuMillis: cores * 1_000, memoryMb: 0 })),
      );
      const expected = placeNaively(waiting, workers);
      t.deepEqual(place(waiting, workers), expected);
    },
  );
  fc.assert(property, { seed: 20_240, numRuns: 500 });
});
