import { Job } from '../src/batch/job.js';
import { withStepDefaults } from '../src/batch/jobCodec.js';
import { orderWaiting } from '../src/batch/ordering.js';
import { placeSteps } from '../src/batch/placement.js';
import { createRun, RunPhase, Worker } from '../src/batch/worker.js';

/** Number of waiting tasks at peak load, and of workers of one service. */
const JOBS = 625;
const TASKS_PER_JOB = 8;
const WORKERS = 250;
const ROUNDS = 40;
/**
 * Maximum time of one round in milliseconds, so that a holder with a third of a core starts tasks
 * in time.
 */
const BOUND_MS = 5;

function createWorkers(): Worker[] {
  return Array.from({ length: WORKERS }, (_, index) => {
    const capacity = { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 0 };
    const otherFields = { address: '', zone: '', labels: [], isDraining: false, bornMs: 0 };
    const worker = new Worker({ id: `w${index}`, service: 's', capacity, ...otherFields });
    worker.isAdmitted = true;
    return worker;
  });
}

function createJobs(): Job[] {
  return Array.from({ length: JOBS }, (_, index) => {
    const step = withStepDefaults({
      count: TASKS_PER_JOB,
      cpuMillis: 3_000 + (index % 9) * 900,
      memoryMb: 7_000,
      estimateMs: 850,
    });
    const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
    const job = new Job(
      { id: `j${index}`, queue: 'q', payload: '', steps: [step], ...schedule },
      0,
      1,
    );
    job.createDueOccurrences(0);
    return job;
  });
}

/** Orders and places all waiting tasks once; returns the time and the number of placed tasks. */
function placeWaitingTasks(
  jobs: readonly Job[],
  workers: readonly Worker[],
): { ms: number; placed: number } {
  let placed = 0;
  const startedAt = performance.now();
  const steps = orderWaiting(jobs, () => undefined, 0, 0).map(({ step }) => step);
  placeSteps({ steps, workers, now: 0, mayRestart: true }, ({ task, worker }) => {
    const runOptions = { task, worker, number: 1, phase: RunPhase.Starting, startedAt: 0 };
    const run = createRun(runOptions);
    task.step.job.attach(task, run);
    worker.add(run);
    placed++;
  });
  return { ms: performance.now() - startedAt, placed };
}

const emptyWorkerMs: number[] = [];
const fullWorkerMs: number[] = [];
let placed = 0;
for (let index = 0; index < ROUNDS; index++) {
  const jobs = createJobs();
  const workers = createWorkers();
  const first = placeWaitingTasks(jobs, workers);
  placed = first.placed;
  emptyWorkerMs.push(first.ms);
  // All workers are full, as in most rounds at peak load.
  fullWorkerMs.push(placeWaitingTasks(jobs, workers).ms);
}
const median = (values: number[]) => values.sort((a, b) => a - b)[values.length >> 1] ?? 0;
const print = (line: string) => process.stdout.write(`${line}\n`);
print(`${JOBS * TASKS_PER_JOB} tasks on ${WORKERS} workers, medians of ${ROUNDS} rounds`);
print(
  `empty workers: ${median(emptyWorkerMs).toFixed(2)} ms for ${placed} placed, bound ${BOUND_MS} ms`,
);
print(`full workers:  ${median(fullWorkerMs).toFixed(2)} ms, bound ${BOUND_MS} ms`);
process.exitCode = median(fullWorkerMs) > BOUND_MS || median(emptyWorkerMs) > BOUND_MS ? 1 : 0;
