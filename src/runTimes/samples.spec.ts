import test from 'ava';
import type { Task } from '../batch/job.js';
import { RunEnd, type StepSpec } from '../batch/types.js';
import type { Worker } from '../batch/worker.js';
import { required, RunControlRig } from '../testing/batchRig/index.js';

interface Case {
  title: string;
  step?: Partial<StepSpec>;
  prepare?: (task: Task) => void;
  /** Measured latency of a task beside it whose target is 100 ms. */
  latencyMs?: number;
  expected: number;
}

const cases: Case[] = [
  { title: 'a run in one piece', expected: 1 },
  {
    title: 'a run that resumed from a checkpoint',
    step: { savesProgress: true },
    prepare: (task) => {
      task.checkpoint = 'c1';
    },
    expected: 0,
  },
  { title: 'a long-running task', step: { isLasting: true }, expected: 0 },
  {
    title: 'a best-effort run that was never slowed down',
    step: { fillsSpare: true },
    latencyMs: 60,
    expected: 1,
  },
  {
    title: 'a best-effort run that was slowed down',
    step: { fillsSpare: true },
    latencyMs: 99,
    expected: 0,
  },
];

for (const { title, step = {}, prepare, latencyMs, expected } of cases) {
  // Guards against predictions spoiled by times that uninterrupted tasks do not take.
  test(`samples from ${title}: ${expected}`, async (t) => {
    const rig = new RunControlRig(step, { isLasting: true, latencyTargetMs: 100 });
    const worker: Worker = rig.createWorker('w');
    const [task, beside] = [...rig.job.tasks()].map(required);
    if (!task || !beside) throw new Error('a job without tasks');
    prepare?.(task);
    rig.runs.start(task, worker);
    rig.runs.start(beside, worker);
    await rig.settle();
    rig.report(worker, [
      { task: task.name, run: 1 },
      { task: beside.name, run: 1, measurement: latencyMs },
    ]);
    const ended = { number: 1, task: task.name, run: 1, end: RunEnd.Done, checkpoint: '' };
    rig.runs.applyEnd(worker, ended);
    t.is(rig.runTimes.observed, expected);
  });
}
