import test from 'ava';
import { Job } from './job.js';
import { completeStep } from './jobCodec.js';
import { choosePaces } from './pacing.js';
import { createRun, RunPhase, Worker } from './worker.js';

/** A worker with one task that serves and one that fills, and their present figures. */
function createSharedWorker(tailMs: number, pace: number): Worker {
  const capacity = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };
  const place = { address: '', zone: '', isDraining: false, bornMs: 0, labels: [] };
  const worker = new Worker({ id: 'w', service: 's', capacity, ...place });
  const latencyCritical = completeStep({ isLasting: true, latencyTargetMs: 100, cpuMillis: 1_000 });
  const bestEffort = completeStep({ isLasting: true, fillsSpare: true, cpuMillis: 1_000 });
  const times = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const spec = {
    id: 'job',
    queue: 'q',
    payload: '',
    steps: [latencyCritical, bestEffort],
    ...times,
  };
  const job = new Job(spec, 0, 1);
  job.openDue(0);
  for (const task of job.tasks()) {
    const isLatencyCritical = task.step.spec.latencyTargetMs > 0;
    const order = { task, worker, number: 1, phase: RunPhase.Running, startedAt: 0 };
    const figures = {
      percent: 100,
      figure: isLatencyCritical ? tailMs : 500,
      pace: isLatencyCritical ? 100 : pace,
    };
    const run = { ...createRun(order), ...figures };
    job.attach(task, run);
    worker.add(run);
  }
  return worker;
}

interface Case {
  title: string;
  tailMs: number;
  pace: number;
  /** New pace of the filling task; undefined when it stays. */
  expected?: number;
}

const cases: Case[] = [
  { title: 'over the target: half', tailMs: 120, pace: 100, expected: 50 },
  { title: 'near the target: half', tailMs: 90, pace: 40, expected: 20 },
  { title: 'still over at a low pace: pause', tailMs: 120, pace: 20, expected: 0 },
  { title: 'between: as it is', tailMs: 70, pace: 50 },
  { title: 'well below: faster in steps', tailMs: 30, pace: 50, expected: 70 },
  { title: 'well below at full pace: as it is', tailMs: 30, pace: 100 },
  { title: 'paused and well below: starts again', tailMs: 30, pace: 0, expected: 20 },
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
