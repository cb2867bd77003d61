import test from 'ava';
import { Job } from './job.js';
import { withStepDefaults } from './jobCodec.js';
import { choosePaces } from './pacing.js';
import { createRun, RunPhase, Worker } from './worker.js';

/** Creates a worker that runs one latency-critical and one best-effort task. */
function createSharedWorker(tailMs: number, pace: number): Worker {
  const capacity = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };
  const registration = { address: '', zone: '', isDraining: false, bornMs: 0, labels: [] };
  const worker = new Worker({ id: 'w', service: 's', capacity, ...registration });
  const latencyCritical = withStepDefaults({
    isLasting: true,
    latencyTargetMs: 100,
    cpuMillis: 1_000,
  });
  const bestEffort = withStepDefaults({ isLasting: true, fillsSpare: true, cpuMillis: 1_000 });
  const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const spec = {
    id: 'job',
    queue: 'q',
    payload: '',
    steps: [latencyCritical, bestEffort],
    ...schedule,
  };
  const job = new Job(spec, 0, 1);
  job.createDueOccurrences(0);
  for (const task of job.tasks()) {
    const isLatencyCritical = task.step.spec.latencyTargetMs > 0;
    const order = { task, worker, number: 1, phase: RunPhase.Running, startedAt: 0 };
    const state = {
      percent: 100,
      measurement: isLatencyCritical ? tailMs : 500,
      pace: isLatencyCritical ? 100 : pace,
    };
    const run = { ...createRun(order), ...state };
    job.attach(task, run);
    worker.add(run);
  }
  return worker;
}

interface Case {
  title: string;
  tailMs: number;
  pace: number;
  /** New pace of the best-effort task; undefined if it does not change. */
  expected?: number;
}

const cases: Case[] = [
  { title: 'above the target, the pace is halved', tailMs: 120, pace: 100, expected: 50 },
  { title: 'close to the target, the pace is halved', tailMs: 90, pace: 40, expected: 20 },
  {
    title: 'above the target at a low pace, the run is paused',
    tailMs: 120,
    pace: 20,
    expected: 0,
  },
  { title: 'between the thresholds, the pace does not change', tailMs: 70, pace: 50 },
  {
    title: 'well below the target, the pace is raised by one step',
    tailMs: 30,
    pace: 50,
    expected: 70,
  },
  { title: 'well below the target at full pace, the pace does not change', tailMs: 30, pace: 100 },
  { title: 'well below the target, a paused run resumes', tailMs: 30, pace: 0, expected: 20 },
];

for (const { title, tailMs, pace, expected } of cases) {
  test(title, (t) => {
    const changes = choosePaces(createSharedWorker(tailMs, pace));
    t.deepEqual(
      changes.map(({ percent }) => percent),
      expected === undefined ? [] : [expected],
    );
    t.true(changes.every(({ run }) => run.task.step.spec.fillsSpare));
  });
}
