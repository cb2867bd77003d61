import test from 'ava';
import { runsOf } from '../batch/job.js';
import type { StepSpec } from '../batch/types.js';
import { required, RunControlRig } from '../testing/batchRig/index.js';

interface Case {
  title: string;
  step: Partial<StepSpec>;
  /** Whether this holder has started a run itself before. */
  hasOwnRun?: boolean;
  /** Runs that workers list one after another. */
  listed: number[];
  /** Numbers of the runs that the task has then. */
  kept: number[];
}

const cases: Case[] = [
  { title: 'both runs are adopted', step: { allowsCopies: true }, listed: [1, 2], kept: [1, 2] },
  {
    title: 'a third run is stopped',
    step: { allowsCopies: true },
    listed: [2, 1, 3],
    kept: [2, 1],
  },
  {
    title: 'a second run is stopped where copies are not allowed',
    step: { allowsCopies: false },
    listed: [1, 2],
    kept: [1],
  },
  {
    title: 'a second run is stopped where the tasks are best-effort',
    step: { allowsCopies: true, fillsSpare: true },
    listed: [1, 2],
    kept: [1],
  },
  {
    title: 'a run that was taken for lost is stopped beside a run of this holder',
    step: { allowsCopies: true },
    hasOwnRun: true,
    listed: [7],
    kept: [1],
  },
];

for (const { title, step, hasOwnRun = false, listed, kept } of cases) {
  // Guards against a third run, and against a second one where copies are not allowed.
  test(`after a takeover, ${title}`, async (t) => {
    const rig = new RunControlRig(step);
    const task = required([...rig.job.tasks()][0]);
    if (hasOwnRun) rig.runs.start(task, rig.createWorker('own'));
    for (const run of listed) rig.report(rig.createWorker(`w${run}`), [{ task: task.name, run }]);
    await rig.settle();
    t.deepEqual(
      runsOf(task).map(({ number }) => number),
      kept,
    );
    const stopped = listed.filter((run) => !kept.includes(run)).map((run) => `${run}@w${run}`);
    t.deepEqual(rig.stops, stopped);
    t.is(task.step.idleCount, 0);
  });
}
