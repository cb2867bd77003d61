import { Job, type Task } from '../src/batch/job.js';
import { withStepDefaults } from '../src/batch/jobCodec.js';
import { orderWaiting, type WaitingStep } from '../src/batch/ordering.js';
import type { Queue } from '../src/batch/types.js';
import type { Run } from '../src/batch/worker.js';
import { createRandom, type Random } from '../src/random/index.js';
import { BenchmarkId, BoundKind, type Benchmark, type Figure } from './types.js';

/** Step of the simulated time in milliseconds. */
const TICK_MS = 20;
/** Time until which jobs arrive, and time until which they may complete, in milliseconds. */
const ARRIVALS_MS = 60_000;
const END_MS = 75_000;
/** Duration of a peak and of a whole demand cycle, in milliseconds. */
const PEAK_MS = 5_000;
const CYCLE_MS = 20_000;

/** Demand on one pool and the capacity of that pool. */
interface PeakLoad {
  capacityCpuMillis: number;
  /** Arrival rate at peak; off-peak it is a twentieth of this. */
  peakJobsPerS: number;
  tasksPerStep: number;
  meanTaskMs: number;
  meanTaskCpuMillis: number;
}

interface SimulatedJob {
  job: Job;
  /** Response time objective, based on actual run times, which the scheduler does not know. */
  objectiveMs: number;
  totalCpuMillis: number;
  runMs: ReadonlyMap<Task, number>;
  endedAtMs?: number;
}

/**
 * Simulates a peak and returns the earned share of the offered value.
 *
 * @param order - reorders the waiting steps returned by {@link orderWaiting}
 */
function simulatePeak(
  load: PeakLoad,
  seed: number,
  order: (waiting: WaitingStep[]) => WaitingStep[],
): number {
  const random = createRandom(seed);
  const queue: Queue = {
    name: 'q',
    host: '',
    pathPrefix: '',
    service: 's',
    objectiveMs: 600,
    stretch: 1.6,
    priority: 0,
    maxAttempts: 3,
  };
  const jobs: SimulatedJob[] = [];
  const unfinished = new Map<Job, SimulatedJob>();
  const runningTasks: { endsAtMs: number; task: Task; cpuMillis: number }[] = [];
  let freeCpuMillis = load.capacityCpuMillis;
  for (let now = 0; now < END_MS; now += TICK_MS) {
    for (const finished of runningTasks.filter(({ endsAtMs }) => endsAtMs <= now)) {
      runningTasks.splice(runningTasks.indexOf(finished), 1);
      freeCpuMillis += finished.cpuMillis;
      const { job } = finished.task.step;
      if (finished.task.run) job.detach(finished.task, finished.task.run);
      job.complete(finished.task);
      const simulated = unfinished.get(job);
      if (!simulated || !job.isComplete) continue;
      simulated.endedAtMs = now;
      unfinished.delete(job);
    }
    const isPeak = now % CYCLE_MS < PEAK_MS;
    const jobsPerS = isPeak ? load.peakJobsPerS : load.peakJobsPerS / 20;
    if (now < ARRIVALS_MS && random.next() < (jobsPerS * TICK_MS) / 1_000) {
      const simulated = createArrivingJob(load, queue, random, now, jobs.length);
      jobs.push(simulated);
      unfinished.set(simulated.job, simulated);
    }
    const waiting = orderWaiting(unfinished.keys(), () => queue, now, now);
    for (const { step } of order(waiting)) {
      for (const task of step.tasks) {
        if (task.isDone || task.run || step.spec.cpuMillis > freeCpuMillis) continue;
        freeCpuMillis -= step.spec.cpuMillis;
        step.job.attach(task, { number: task.nextRun } as Run);
        const runMs = unfinished.get(step.job)?.runMs.get(task) ?? 0;
        runningTasks.push({ endsAtMs: now + runMs, task, cpuMillis: step.spec.cpuMillis });
      }
    }
  }
  return earnedShare(jobs);
}

function createArrivingJob(
  load: PeakLoad,
  queue: Queue,
  random: Random,
  now: number,
  index: number,
): SimulatedJob {
  const count = Math.max(1, Math.round(load.tasksPerStep * sampleSizeFactor(random, 0.8)));
  const steps = Array.from({ length: random.next() < 0.6 ? 2 : 1 }, (_, number) =>
    withStepDefaults({
      count,
      cpuMillis: Math.round(load.meanTaskCpuMillis * sampleSizeFactor(random, 0.6)),
      memoryMb: 1,
      estimateMs: load.meanTaskMs * sampleSizeFactor(random, 0.4),
      after: number > 0 ? [number - 1] : [],
    }),
  );
  const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const job = new Job({ id: `j${index}`, queue: 'q', payload: '', steps, ...schedule }, now, 1);
  job.createDueOccurrences(0);
  const totalCpuMillis = steps.reduce((sum, { count: n, cpuMillis }) => sum + n * cpuMillis, 0);
  const runMs = new Map<Task, number>();
  for (const task of job.tasks())
    runMs.set(task, task.step.spec.estimateMs * sampleSizeFactor(random, 0.3));
  const criticalPathMs = [...job.occurrences.values()]
    .flatMap((occurrence) => occurrence.steps)
    .reduce((sum, step) => sum + Math.max(...step.tasks.map((task) => runMs.get(task) ?? 0)), 0);
  const objectiveMs = criticalPathMs * queue.stretch + queue.objectiveMs;
  return { job, objectiveMs, totalCpuMillis, runMs };
}

/** Draws a log-normal factor with mean 1. */
function sampleSizeFactor(random: Random, sigma: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return Math.exp(sigma * normal - (sigma * sigma) / 2);
}

/**
 * Earned share of the offered value. A job that ends after its objective earns a fourteenth of its
 * value, and one that ends after three times its objective earns nothing.
 */
function earnedShare(jobs: readonly SimulatedJob[]): number {
  const meanCpuMillis =
    jobs.reduce((sum, { totalCpuMillis }) => sum + totalCpuMillis, 0) / jobs.length;
  let offeredValue = 0;
  let earnedValue = 0;
  for (const { job, totalCpuMillis, objectiveMs, endedAtMs = Infinity } of jobs) {
    const value = Math.min(4, 0.3 + (0.7 * totalCpuMillis) / meanCpuMillis);
    const tookMs = endedAtMs - job.acceptedAt;
    offeredValue += value;
    if (tookMs <= objectiveMs) earnedValue += value;
    else if (tookMs <= 3 * objectiveMs) earnedValue += value / 14;
  }
  return earnedValue / offeredValue;
}

/** Runs for each load, each with a different seed. */
const RUNS = 40;

/** Peak loads of a pool, with the job sizes of typical users. */
const loads: Record<string, PeakLoad> = {
  'small jobs, 2 x capacity': {
    capacityCpuMillis: 110_000,
    peakJobsPerS: 22,
    tasksPerStep: 6,
    meanTaskMs: 680,
    meanTaskCpuMillis: 1_100,
  },
  'small jobs, 3 x capacity': {
    capacityCpuMillis: 74_000,
    peakJobsPerS: 22,
    tasksPerStep: 6,
    meanTaskMs: 680,
    meanTaskCpuMillis: 1_100,
  },
  'large jobs, 2 x capacity': {
    capacityCpuMillis: 70_000,
    peakJobsPerS: 2.4,
    tasksPerStep: 8,
    meanTaskMs: 1_800,
    meanTaskCpuMillis: 2_500,
  },
};

const byArrival = (waiting: WaitingStep[]) =>
  [...waiting].sort((a, b) => a.step.job.acceptedAt - b.step.job.acceptedAt);
const byUrgency = (waiting: WaitingStep[]) => waiting;

/** Creates the benchmark that compares the order by urgency with that by arrival at peak load. */
export function createPeakOrderBenchmark(): Benchmark {
  return {
    id: BenchmarkId.PeakOrder,
    title: 'Order of waiting jobs at peak load: earned share of the offered value',
    run: (seed) =>
      Promise.resolve(Object.entries(loads).flatMap(([name, load]) => compare(name, load, seed))),
  };
}

function compare(name: string, load: PeakLoad, seed: number): Figure[] {
  const seeds = Array.from({ length: RUNS }, (_, run) => seed + run);
  const meanEarnedShare = (order: typeof byArrival) =>
    seeds.reduce((sum, each) => sum + simulatePeak(load, each, order), 0) / RUNS;
  const arrivalShare = meanEarnedShare(byArrival);
  const urgencyShare = meanEarnedShare(byUrgency);
  const atLeast = { kind: BoundKind.AtLeast, value: arrivalShare };
  return [
    { variant: 'order of arrival', name, value: arrivalShare, unit: 'share of value' },
    { variant: 'urgency', name, value: urgencyShare, unit: 'share of value', bound: atLeast },
  ];
}
