import test from 'ava';
import fc from 'fast-check';
import { Job, type Step } from './job.js';
import { completeStep } from './jobCodec.js';
import { placeSteps } from './placement.js';
import type { StepSpec } from './types.js';
import { createRun, RunPhase, Worker } from './worker.js';

function worker(id: string, labels: string[] = [], cpuMillis = 4_000): Worker {
  const capacity = { cpuMillis, memoryMb: 8_000, accelerators: 0 };
  const place = { address: '', zone: '', isDraining: false, bornMs: 0 };
  const created = new Worker({ id, service: 's', capacity, labels, ...place });
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
        steps: [completeStep({ cpuMillis: 1_000, memoryMb: 100, ...spec })],
        occurrences: 0,
        firstDueMs: 0,
        periodMs: 0,
        acceptedMs: 0,
      },
      0,
      1,
    );
    job.openDue(0);
    const step = job.occurrences.get(0)?.steps[0];
    if (!step) throw new Error('a job without a step');
    return step;
  });
}

/** Places and returns `task index@worker` for each assignment. */
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
    title: 'a label is a must',
    specs: [{ count: 1, requiredLabel: 'big' }],
    workers: () => [worker('a'), worker('b', ['big'])],
    expected: ['0@b'],
  },
  {
    title: 'a task without its label anywhere waits',
    specs: [{ count: 1, requiredLabel: 'big' }],
    workers: () => [worker('a')],
    expected: [],
  },
  {
    title: 'no more tasks of a step on a worker than it allows',
    specs: [{ count: 4, maxPerWorker: 1 }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@b'],
  },
  {
    title: 'the rack of the input comes first',
    specs: [{ count: 1, nearRack: 'r2' }],
    workers: () => [worker('a', ['r1']), worker('b', ['r2'])],
    expected: ['0@b'],
  },
  {
    title: 'a gang starts whole',
    specs: [{ count: 6, isGang: true }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a', '1@a', '2@a', '3@a', '4@b', '5@b'],
  },
  {
    title: 'a gang without room for all members starts none, and leaves the room to others',
    specs: [{ count: 9, isGang: true }, { count: 1 }],
    workers: () => [worker('a'), worker('b')],
    expected: ['0@a'],
  },
  {
    title: 'a smaller task goes on where a larger one finds no room',
    specs: [{ count: 1, cpuMillis: 9_000 }, { count: 1 }],
    workers: () => [worker('a')],
    expected: ['0@a'],
  },
  {
    title: 'what fills spare processor needs none of its own, but memory',
    specs: [{ count: 4 }, { count: 9, cpuMillis: 4_000, memoryMb: 2_500, fillsSpare: true }],
    workers: () => [worker('a')],
    expected: ['0@a', '1@a', '2@a', '3@a', '0@a', '1@a', '2@a'],
  },
  {
    title: 'tasks of one lasting step keep apart',
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

test('a worker that is draining, vacating, silent or not held takes nothing', (t) => {
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

test('a lost task waits for a certain hold on the service', (t) => {
  const [step] = steps({ count: 2 });
  if (!step?.tasks[0]) throw new Error('no task');
  step.tasks[0].wasLost = true;
  t.deepEqual(place([step], [worker('a')], false), ['1@a']);
  t.deepEqual(place([step], [worker('a')], true), ['0@a']);
});

test('the failed worker is avoided while there are others', (t) => {
  const [step] = steps({ count: 1 });
  if (!step?.tasks[0]) throw new Error('no task');
  step.tasks[0].avoid = 'a';
  t.deepEqual(place([step], [worker('a'), worker('b')]), ['0@b']);
});

/** The rule for tasks to which any worker is as good, written without an index. */
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

// Guards against an index that chooses other workers than a look at each of them.
test('the fullest worker with room is chosen, failing ones last, in any load', (t) => {
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
