import { Job, type Task } from '../src/batch/job.js';
import { withStepDefaults } from '../src/batch/jobCodec.js';
import { orderWaiting, type WaitingStep } from '../src/batch/ordering.js';
import type { Queue } from '../src/batch/types.js';
import type { Run } from '../src/batch/worker.js';
import { createRandom, type Random } from '../src/random/index.js';
import { BenchmarkId, BoundKind, type Benchmark, type Figure } from './types.js';

/** Length of one step of the simulated time, in milliseconds. */
const TICK_MS = 20;
/** Time during which jobs arrive, and the time in which they may still end, in milliseconds. */
const ARRIVALS_MS = 60_000;
const LENGTH_MS = 75_000;
/** Length of a turn and of the whole cycle of demand, in milliseconds. */
const TURN_MS = 5_000;
const CYCLE_MS = 20_000;

/** Demand against the room of one pool. */
interface PeakLoad {
  /** Thousandths of a core. */
  roomCpu: number;
  /** Jobs a second within a turn; a twentieth of it outside. */
  peakPerS: number;
  tasksPerStep: number;
  meanMs: number;
  meanCpu: number;
}

interface Live {
  job: Job;
  /** Milliseconds within which it is to end: by what its tasks take, which nobody knows before. */
  objective: number;
  work: number;
  runMs: ReadonlyMap<Task, number>;
  endedAt?: number;
}

/** Plays a peak with an order of waiting steps; `order` receives what {@link orderWaiting} gives. */
function playPeak(
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
  const all: Live[] = [];
  const open = new Map<Job, Live>();
  const ends: { at: number; task: Task; cpu: number }[] = [];
  let free = load.roomCpu;
  for (let now = 0; now < LENGTH_MS; now += TICK_MS) {
    for (const end of ends.filter(({ at }) => at <= now)) {
      ends.splice(ends.indexOf(end), 1);
      free += end.cpu;
      const { job } = end.task.step;
      job.detach(end.task);
      job.complete(end.task);
      const live = open.get(job);
      if (!live || !job.isComplete) continue;
      live.endedAt = now;
      open.delete(job);
    }
    const inTurn = now % CYCLE_MS < TURN_MS;
    const rate = inTurn ? load.peakPerS : load.peakPerS / 20;
    if (now < ARRIVALS_MS && random.next() < (rate * TICK_MS) / 1_000) {
      const live = arrive(load, queue, random, now, all.length);
      all.push(live);
      open.set(live.job, live);
    }
    const waiting = orderWaiting(open.keys(), () => queue, now, now);
    for (const { step } of order(waiting)) {
      for (const task of step.tasks) {
        if (task.isDone || task.run || step.spec.cpuMillis > free) continue;
        free -= step.spec.cpuMillis;
        step.job.attach(task, { number: task.nextRun } as Run);
        const runMs = open.get(step.job)?.runMs.get(task) ?? 0;
        ends.push({ at: now + runMs, task, cpu: step.spec.cpuMillis });
      }
    }
  }
  return summarize(all);
}

function arrive(load: PeakLoad, queue: Queue, random: Random, now: number, index: number): Live {
  const count = Math.max(1, Math.round(load.tasksPerStep * spread(random, 0.8)));
  const steps = Array.from({ length: random.next() < 0.6 ? 2 : 1 }, (_, number) =>
    withStepDefaults({
      count,
      cpuMillis: Math.round(load.meanCpu * spread(random, 0.6)),
      memoryMb: 1,
      estimateMs: load.meanMs * spread(random, 0.4),
      after: number > 0 ? [number - 1] : [],
    }),
  );
  const times = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const job = new Job({ id: `j${index}`, queue: 'q', payload: '', steps, ...times }, now, 1);
  job.createDueOccurrences(0);
  const work = steps.reduce((sum, { count: n, cpuMillis }) => sum + n * cpuMillis, 0);
  const runMs = new Map<Task, number>();
  for (const task of job.tasks()) runMs.set(task, task.step.spec.estimateMs * spread(random, 0.3));
  const chainMs = [...job.occurrences.values()]
    .flatMap((occurrence) => occurrence.steps)
    .reduce((sum, step) => sum + Math.max(...step.tasks.map((task) => runMs.get(task) ?? 0)), 0);
  const objective = chainMs * queue.stretch + queue.objectiveMs;
  return { job, objective, work, runMs };
}

/** Factor with mean 1 around which sizes differ. */
function spread(random: Random, sigma: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return Math.exp(sigma * normal - (sigma * sigma) / 2);
}

/** Share of the worth that was offered; a late job is worth a fourteenth, an overdue one nothing. */
function summarize(all: readonly Live[]): number {
  const mean = all.reduce((sum, { work }) => sum + work, 0) / all.length;
  let owed = 0;
  let earned = 0;
  for (const { job, work, objective, endedAt = Infinity } of all) {
    const worth = Math.min(4, 0.3 + (0.7 * work) / mean);
    const took = endedAt - job.acceptedAt;
    owed += worth;
    if (took <= objective) earned += worth;
    else if (took <= 3 * objective) earned += worth / 14;
  }
  return earned / owed;
}

/** Plays of one load, with other seeds. */
const PLAYS = 40;

/** Loads of a pool at a peak, with the sizes of the users' kinds of jobs. */
const loads: Record<string, PeakLoad> = {
  'small jobs, 2 x the room': {
    roomCpu: 110_000,
    peakPerS: 22,
    tasksPerStep: 6,
    meanMs: 680,
    meanCpu: 1_100,
  },
  'small jobs, 3 x the room': {
    roomCpu: 74_000,
    peakPerS: 22,
    tasksPerStep: 6,
    meanMs: 680,
    meanCpu: 1_100,
  },
  'large jobs, 2 x the room': {
    roomCpu: 70_000,
    peakPerS: 2.4,
    tasksPerStep: 8,
    meanMs: 1_800,
    meanCpu: 2_500,
  },
};

const byArrival = (waiting: WaitingStep[]) =>
  [...waiting].sort((a, b) => a.step.job.acceptedAt - b.step.job.acceptedAt);
const byUrgency = (waiting: WaitingStep[]) => waiting;

/** Compares the order of waiting steps with the order of arrival, for a pool at its peak. */
export function createPeakOrder(): Benchmark {
  return {
    id: BenchmarkId.PeakOrder,
    title: 'Order of waiting jobs at a peak: share of the worth that was offered',
    run: (seed) =>
      Promise.resolve(Object.entries(loads).flatMap(([name, load]) => compare(name, load, seed))),
  };
}

function compare(name: string, load: PeakLoad, seed: number): Figure[] {
  const seeds = Array.from({ length: PLAYS }, (_, play) => seed + play);
  const mean = (order: typeof byArrival) =>
    seeds.reduce((sum, each) => sum + playPeak(load, each, order), 0) / PLAYS;
  const arrival = mean(byArrival);
  const urgency = mean(byUrgency);
  const atLeast = { kind: BoundKind.AtLeast, value: arrival };
  return [
    { variant: 'order of arrival', name, value: arrival, unit: 'of worth' },
    { variant: 'urgency', name, value: urgency, unit: 'of worth', bound: atLeast },
  ];
}
