import test from 'ava';
import { Job, type Task } from '../batch/job.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import { JobState, type StepSpec } from '../batch/types.js';
import { createRun, RunPhase, Worker } from '../batch/worker.js';
import { CrashRole } from '../batch/crashSuspects.js';
import { required } from '../testing/batchRig/index.js';
import { copyCpu, placeCopies, type CopyRound } from './placeCopies.js';
import { findStragglers } from './stragglers.js';
import type { LearnedTimes } from './types.js';

const NOW = 10_000;
const FRESH_MS = 500;
const LIMIT_MS = 750;

/** Tasks take 500 ms, nearly all below 750 ms; a straggler is expected to take 2 s more. */
const times: LearnedTimes = {
  predictMs: () => FRESH_MS,
  quantileMs: () => LIMIT_MS,
  expectedRemainderMs: () => 2_000,
};

function createWorker(id: string): Worker {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
  const registration = { address: '', zone: '', isDraining: false, bornMs: 0 };
  const worker = new Worker({ id, service: 's', capacity, labels: [], ...registration });
  worker.isAdmitted = true;
  return worker;
}

function createJob(fields: Partial<StepSpec>, id = 'job'): Job {
  const defaults = { cpuMillis: 200, memoryMb: 100, estimateMs: 500, allowsCopies: true };
  const steps = [withStepDefaults({ ...defaults, count: 3, ...fields })];
  const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const job = new Job({ id, queue: 'q', payload: '', steps, ...schedule }, 0, 1);
  job.createDueOccurrences(0);
  return job;
}

function start(task: Task, worker: Worker, startedAt: number, isCopy = false): void {
  const run = createRun({ task, worker, number: task.nextRun, phase: RunPhase.Running, startedAt });
  run.isCopy = isCopy;
  if (isCopy) task.step.job.attachCopy(task, run);
  else task.step.job.attach(task, run);
  worker.add(run);
}

interface Case {
  title: string;
  step?: Partial<StepSpec>;
  times?: Partial<LearnedTimes>;
  round?: Partial<CopyRound>;
  /** Changes the job, of which task 0 has run for 800 ms on worker `a` and task 1 has ended. */
  prepare?: (task: Task, workers: Worker[]) => void;
  /** Expected copies, as `index@worker`. */
  expected: string[];
}

const cases: Case[] = [
  { title: 'a straggler gets a copy on another worker', expected: ['0@b'] },
  {
    title: 'no copy for a run below the limit',
    times: { quantileMs: () => 800 },
    expected: [],
  },
  {
    title: 'no copy while too few tasks have run for a limit',
    times: { quantileMs: () => undefined },
    expected: [],
  },
  {
    title: 'no copy if the run is expected to end before a fresh one would',
    times: { expectedRemainderMs: () => FRESH_MS },
    expected: [],
  },
  {
    title: 'no copy while no task of the step has ended',
    prepare: ({ step }) => {
      step.doneCount = 0;
    },
    expected: [],
  },
  {
    title: 'a step of a single task has no other that could end first',
    step: { count: 1 },
    expected: ['0@b'],
  },
  {
    title: 'no copy where the step does not allow it',
    step: { allowsCopies: false },
    expected: [],
  },
  { title: 'no copy of the task of a gang', step: { isGang: true }, expected: [] },
  { title: 'no copy of a long-running task', step: { isLasting: true }, expected: [] },
  { title: 'no copy of a best-effort task', step: { fillsSpare: true }, expected: [] },
  {
    title: 'no second copy beside a first',
    prepare: (task, [, , c]) => {
      start(task, required(c), NOW, true);
    },
    expected: [],
  },
  {
    title: 'no further copy after one has failed',
    prepare: (task) => {
      task.hadCopy = true;
    },
    expected: [],
  },
  {
    title: 'no copy of a run that is being stopped',
    prepare: ({ run }) => {
      required(run).phase = RunPhase.Stopping;
    },
    expected: [],
  },
  {
    title: 'no copy of a task of an ended job',
    prepare: ({ step: { job } }) => {
      job.finalState = JobState.Cancelled;
    },
    expected: [],
  },
  {
    title: 'no copy of a task that may crash its worker',
    prepare: (task) => {
      task.crashes = new Map([[1, CrashRole.Suspect]]);
    },
    expected: [],
  },
  {
    title: 'no copy on a worker that is full, silent or empties',
    prepare: (_, [, b, c]) => {
      required(b).cpuUsed = 3_900;
      required(c).unansweredCalls = 1;
    },
    expected: [],
  },
  {
    title: 'a copy respects the number of tasks per worker',
    step: { maxPerWorker: 1 },
    prepare: ({ step }, [, b]) => {
      start(required(step.tasks[2]), required(b), NOW);
    },
    expected: ['0@c'],
  },
  {
    title: 'no copy needs more than its share of the CPU',
    step: { cpuMillis: 601 },
    expected: [],
  },
  {
    title: 'copies that still run count towards that share',
    step: { cpuMillis: 400 },
    prepare: (_, [a, , c]) => {
      const other = required([...createJob({ cpuMillis: 250 }, 'other').tasks()][0]);
      start(other, required(a), 0);
      start(other, required(c), 0, true);
    },
    expected: [],
  },
  {
    title: 'a copy that has become the only run no longer counts',
    step: { cpuMillis: 400 },
    prepare: (_, [a, , c]) => {
      const other = required([...createJob({ cpuMillis: 250 }, 'other').tasks()][0]);
      start(other, required(a), 0);
      start(other, required(c), 0, true);
      const lost = required(other.run);
      required(a).remove(lost);
      other.step.job.detach(other, lost);
    },
    expected: ['0@c'],
  },
  { title: 'no copy beyond the window of start orders', round: { maxStarts: 0 }, expected: [] },
  {
    title: 'no copy while the step may not be placed',
    round: { isPlaceable: () => false },
    expected: [],
  },
];

for (const { title, step, times: changed, round, prepare, expected } of cases) {
  test(title, (t) => {
    const workers = ['a', 'b', 'c'].map(createWorker);
    const job = createJob(step ?? {});
    const [task, second] = [...job.tasks()];
    start(required(task), required(workers[0]), NOW - 800);
    if (second) job.complete(second);
    prepare?.(required(task), workers);
    const found = findStragglers([job], NOW, { ...times, ...changed });
    const placed: string[] = [];
    const input = { workers, now: NOW, maxStarts: 8, isPlaceable: () => true, ...round };
    placeCopies(found, input, (chosen) => {
      start(chosen.task, chosen.worker, NOW, true);
      placed.push(`${chosen.task.index}@${chosen.worker.record.id}`);
    });
    t.deepEqual(placed, expected);
  });
}

test('many stragglers together reserve at most a twentieth of the CPU, largest gain first', (t) => {
  const workers = Array.from({ length: 10 }, (_, i) => createWorker(`w${i}`));
  const job = createJob({ count: 30, cpuMillis: 300 });
  const tasks = [...job.tasks()];
  const [first, ...others] = tasks;
  job.complete(required(first));
  for (const [i, task] of others.entries()) start(task, required(workers[i % 10]), NOW - 1_000 - i);
  const found = findStragglers([job], NOW, {
    ...times,
    expectedRemainderMs: (_step, _queue, elapsedMs) => elapsedMs,
  });
  t.is(found.length, 29);
  const placed: number[] = [];
  placeCopies(found, { workers, now: NOW, maxStarts: 99, isPlaceable: () => true }, (chosen) => {
    start(chosen.task, chosen.worker, NOW, true);
    placed.push(chosen.task.index);
  });
  // A twentieth of 40 cores are 2 cores, of which six copies take 1.8.
  t.deepEqual(placed, [29, 28, 27, 26, 25, 24]);
  t.is(copyCpu(workers), 1_800);
});
