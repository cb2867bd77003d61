import test from 'ava';
import { Job, type Task } from '../batch/job.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import type { StepSpec } from '../batch/types.js';
import { createRun, RunPhase, Worker, type Run } from '../batch/worker.js';
import { required } from '../testing/batchRig/index.js';
import { findResumable, resumeGainMs } from './resume.js';
import { findStragglers } from './stragglers.js';
import type { LearnedTimes } from './types.js';

const NOW = 10_000;
const FRESH_MS = 1_000;

const times: LearnedTimes = {
  predictMs: () => FRESH_MS,
  quantileMs: () => 1_500,
  expectedRemainderMs: () => 400,
};

function createWorker(id: string, slowdown = 1): Worker {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
  const registration = { address: '', zone: '', isDraining: false, bornMs: 0 };
  const worker = new Worker({ id, service: 's', capacity, labels: [], ...registration });
  worker.isAdmitted = true;
  worker.slowdown = slowdown;
  return worker;
}

function createTask(fields: Partial<StepSpec>): Task {
  const defaults = { count: 2, cpuMillis: 200, memoryMb: 100, estimateMs: FRESH_MS };
  const steps = [withStepDefaults({ ...defaults, savesProgress: true, ...fields })];
  const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const job = new Job({ id: 'job', queue: 'q', payload: '', steps, ...schedule }, 0, 1);
  job.createDueOccurrences(0);
  const [task, other] = [...job.tasks()];
  job.complete(required(other));
  return required(task);
}

interface GainCase {
  title: string;
  elapsedMs: number;
  slowdown: number;
  sinceCheckpointMs: number;
  expected: number;
}

const gainCases: GainCase[] = [
  {
    title: 'half of the work remains on a worker at a fifth of the speed',
    elapsedMs: 2_500,
    slowdown: 5,
    sinceCheckpointMs: 500,
    // 2,500 ms there; 300 ms to resume, 100 ms of lost work and 500 ms elsewhere.
    expected: 1_600,
  },
  {
    title: 'nearly all work is done',
    elapsedMs: 4_900,
    slowdown: 5,
    sinceCheckpointMs: 0,
    expected: 100 - 300 - 20,
  },
  {
    title: 'the last checkpoint is too old',
    elapsedMs: 4_500,
    slowdown: 5,
    sinceCheckpointMs: 4_500,
    expected: 500 - 300 - 900 - 100,
  },
  {
    title: 'the task has more work than predicted',
    elapsedMs: 6_000,
    slowdown: 5,
    sinceCheckpointMs: 500,
    expected: 2_000 - 300 - 100 - 400,
  },
];

for (const { title, elapsedMs, slowdown, sinceCheckpointMs, expected } of gainCases) {
  test(`gain of resuming: ${title}`, (t) => {
    const straggler = { task: createTask({}), elapsedMs, freshMs: FRESH_MS };
    const costs = { resumeCostMs: 300, slowdown, sinceCheckpointMs };
    t.is(Math.round(resumeGainMs(straggler, times, costs)), expected);
  });
}

interface Case {
  title: string;
  step?: Partial<StepSpec>;
  slowdown?: number;
  checkpoint?: string;
  prepare?: (run: Run, other: Worker) => void;
  isResumed: boolean;
}

const cases: Case[] = [
  { title: 'a straggler on a slow worker is resumed elsewhere', isResumed: true },
  { title: 'not without a checkpoint', checkpoint: '', isResumed: false },
  { title: 'not on a worker that was not found slow', slowdown: 1, isResumed: false },
  { title: 'not where copies are allowed', step: { allowsCopies: true }, isResumed: false },
  {
    title: 'not a step that writes no checkpoints',
    step: { savesProgress: false },
    isResumed: false,
  },
  { title: 'not a task of a gang', step: { isGang: true }, isResumed: false },
  { title: 'not a long-running task', step: { isLasting: true }, isResumed: false },
  {
    title: 'not while the last checkpoint is too old',
    prepare: (run) => {
      run.checkpointAt = NOW - 100_000;
    },
    isResumed: false,
  },
  {
    title: 'not while no other worker has room',
    prepare: (_run, other) => {
      other.cpuUsed = 4_000;
    },
    isResumed: false,
  },
  {
    title: 'not if the other workers are slow, too',
    prepare: (_run, other) => {
      other.slowdown = 3;
    },
    isResumed: false,
  },
];

for (const { title, step = {}, slowdown = 5, checkpoint = 'c1', prepare, isResumed } of cases) {
  test(title, (t) => {
    const [slow, other] = [createWorker('slow', slowdown), createWorker('other')];
    const task = createTask(step);
    const startedAt = NOW - 2_500;
    const phase = RunPhase.Running;
    const run = createRun({ task, worker: slow, number: 1, phase, startedAt });
    run.checkpointAt = NOW - 500;
    task.checkpoint = checkpoint;
    task.step.job.attach(task, run);
    slow.add(run);
    prepare?.(run, other);
    const stragglers = findStragglers([task.step.job], NOW, times);
    const round = { workers: [slow, other], now: NOW, times, resumeCostMs: 300 };
    t.is(findResumable(stragglers, round).length, isResumed ? 1 : 0);
  });
}
