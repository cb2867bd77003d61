import { Job } from '../src/batch/job.js';
import { withStepDefaults } from '../src/batch/jobCodec.js';
import { AccountUsage } from '../src/accounts/index.js';
import { byAccount, orderWaiting, queuedWork, turnSize } from '../src/batch/ordering.js';
import { placeSteps } from '../src/batch/placement.js';
import { createRun, RunPhase, Worker } from '../src/batch/worker.js';

/** Number of waiting tasks at peak load, and of workers of one service. */
const JOBS = 625;
const TASKS_PER_JOB = 8;
const WORKERS = 250;
const ROUNDS = 40;
const ACCOUNTS = 20;
/**
 * Maximum time of one round in milliseconds, so that a holder with a third of a core starts tasks
 * in time.
 */
const BOUND_MS = 5;

const POOL = { cpuMillis: 64_000 * WORKERS, memoryMb: 262_144 * WORKERS, accelerators: 0 };

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
      {
        id: `j${index}`,
        queue: 'q',
        payload: '',
        steps: [step],
        account: `a${index % ACCOUNTS}`,
        isBeyondRate: index % 3 === 0,
        ...schedule,
      },
      0,
      1,
    );
    job.createDueOccurrences(0);
    return job;
  });
}

function measureUsage(workers: readonly Worker[]): AccountUsage {
  const usage = new AccountUsage(POOL, () => 1);
  for (const { runs } of workers)
    for (const { task } of runs.values())
      usage.add(task.step.job.spec.account ?? '', task.step.spec, true);
  return usage;
}

/** Orders and places all waiting tasks once; returns the time and the number of placed tasks. */
function placeWaitingTasks(
  jobs: readonly Job[],
  workers: readonly Worker[],
  hasAccounts = false,
): { ms: number; placed: number } {
  let placed = 0;
  const startedAt = performance.now();
  const waiting = orderWaiting(jobs, () => undefined, 0, 0, { hasAccounts });
  const usage = hasAccounts ? measureUsage(workers) : undefined;
  const steps = usage ? byAccount(waiting, usage) : waiting.map(({ step }) => step);
  const round = { steps, workers, now: 0, mayRestart: true };
  placeSteps(usage ? { ...round, turnSize } : round, ({ task, worker }) => {
    usage?.add(task.step.job.spec.account ?? '', task.step.spec, true);
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
const emptyWithAccountsMs: number[] = [];
const fullWithAccountsMs: number[] = [];
const queuedWorkMs: number[] = [];
let placed = 0;
for (let index = 0; index < ROUNDS; index++) {
  const jobs = createJobs();
  const workers = createWorkers();
  const first = placeWaitingTasks(jobs, workers);
  placed = first.placed;
  emptyWorkerMs.push(first.ms);
  // All workers are full, as in most rounds at peak load.
  fullWorkerMs.push(placeWaitingTasks(jobs, workers).ms);
  const [otherJobs, otherWorkers] = [createJobs(), createWorkers()];
  emptyWithAccountsMs.push(placeWaitingTasks(otherJobs, otherWorkers, true).ms);
  fullWithAccountsMs.push(placeWaitingTasks(otherJobs, otherWorkers, true).ms);
  const waiting = orderWaiting(otherJobs, () => undefined, 0, 0, { hasAccounts: true });
  const startedAt = performance.now();
  queuedWork(waiting, POOL);
  queuedWorkMs.push(performance.now() - startedAt);
}
const median = (values: number[]) => values.sort((a, b) => a - b)[values.length >> 1] ?? 0;
const print = (line: string) => process.stdout.write(`${line}\n`);
print(`${JOBS * TASKS_PER_JOB} tasks on ${WORKERS} workers, medians of ${ROUNDS} rounds`);
print(
  `empty workers: ${median(emptyWorkerMs).toFixed(2)} ms for ${placed} placed, bound ${BOUND_MS} ms`,
);
print(`full workers:  ${median(fullWorkerMs).toFixed(2)} ms, bound ${BOUND_MS} ms`);
print(
  `with ${ACCOUNTS} accounts: ${median(emptyWithAccountsMs).toFixed(2)} ms with empty workers, ` +
    `${median(fullWithAccountsMs).toFixed(2)} ms with full ones, bound ${BOUND_MS} ms`,
);
print(`waiting work for admission: ${median(queuedWorkMs).toFixed(2)} ms`);
const measured = [fullWorkerMs, emptyWorkerMs, fullWithAccountsMs, emptyWithAccountsMs];
process.exitCode = measured.some((values) => median(values) > BOUND_MS) ? 1 : 0;
