import { createExecutorChooser } from '../src/backends/index.js';
import type { Team } from '../src/configuration/index.js';
import { Metrics } from '../src/metrics/index.js';
import { createRandom } from '../src/random/index.js';
import {
  createScheduler,
  schedulingSchema,
  type ExecutorSlots,
  type Scheduler,
  type SchedulingPolicy,
  type SchedulingSettings,
  type SlotGrant,
  type WorkItem,
} from '../src/scheduling/index.js';
import { createSimulatedTime } from './virtualTime.js';

/** Kinds of work, by what it really is and not by what was declared or learned. */
export enum WorkKind {
  Short = 'short',
  /** A piece of a short operation that runs many times longer than the others. */
  Straggler = 'straggler',
  Long = 'long',
}

/** A piece of work that arrives at a fixed time. All times are in milliseconds. */
export interface Arrival {
  atMs: number;
  service: string;
  team: string;
  operation: string;
  kind: WorkKind;
  runMs: number;
  declaredMs: number;
  /** Time until the caller gives up. */
  budgetMs: number;
}

/** What became of an arrival. */
export interface Piece {
  arrival: Arrival;
  /** Time in the queue; undefined when the piece was refused. */
  waitMs?: number;
  /** Undefined when the piece was refused or runs past the end. */
  finishedAtMs?: number;
}

/** Options of {@link simulate}. */
export interface SimulationOptions {
  seed: number;
  settings?: Partial<SchedulingSettings>;
  policy: SchedulingPolicy;
  executors: readonly ExecutorSlots[];
  /** Sorted by time. */
  arrivals: readonly Arrival[];
  endMs: number;
  /** Whether the scheduler learns the callers' deadlines. */
  passesDeadlines?: boolean;
}

const QUEUE_LIMIT = 100_000;

/** Deadline given to the scheduler when it must not know the real one, in milliseconds. */
const FAR_DEADLINE_MS = 1e6;

/** Runs the real scheduler against simulated executors. */
export async function simulate(options: SimulationOptions): Promise<Piece[]> {
  const time = createSimulatedTime();
  const { clock } = time;
  const scheduler = createScheduler({
    clock,
    metrics: new Metrics(),
    settings: schedulingSchema.parse(options.settings ?? {}),
    policy: options.policy,
    service: (id) => ({ id, pool: id, maxQueued: QUEUE_LIMIT, spill: false, minAvailableSlots: 0 }),
    team: (id): Team => ({
      id,
      weight: 1,
      maxQueued: QUEUE_LIMIT,
      maxRunning: QUEUE_LIMIT,
      maxUrgent: 0,
      maxJobs: 0,
    }),
    choose: createExecutorChooser({
      random: createRandom(options.seed),
      weight: () => 1,
      isLeaving: () => false,
    }),
  });
  scheduler.setExecutors(options.executors);
  const pieces: Piece[] = options.arrivals.map((arrival) => ({ arrival }));

  const run = async (piece: Piece, grant: SlotGrant) => {
    piece.waitMs = grant.waitedMs;
    const { runMs } = piece.arrival;
    await clock.sleep(runMs);
    piece.finishedAtMs = clock.now();
    grant.release(runMs);
  };
  const arrive = async (piece: Piece, index: number) => {
    const item = itemOf(piece.arrival, index, options.passesDeadlines ?? true);
    const result = await scheduler.submit(item);
    if (result.isOk) await run(piece, result.value);
  };
  const feed = async () => {
    for (const [index, piece] of pieces.entries()) {
      const delayMs = piece.arrival.atMs - clock.now();
      if (delayMs > 0) await clock.sleep(delayMs);
      void arrive(piece, index);
    }
  };
  void feed();
  await time.runUntil(options.endMs);
  stop(scheduler);
  return pieces;
}

function stop(scheduler: Scheduler): void {
  scheduler.setExecutors([]);
  scheduler.close();
}

function itemOf(arrival: Arrival, index: number, passesDeadline: boolean): WorkItem {
  const { service, team, operation, declaredMs, atMs, budgetMs } = arrival;
  const deadline = atMs + (passesDeadline ? budgetMs : FAR_DEADLINE_MS);
  return {
    requestId: `r${index}`,
    service,
    team,
    urgent: false,
    operation,
    declaredMs,
    deadline,
    signal: new AbortController().signal,
  };
}

/** Whether a piece finished before its caller gave up. */
export function isUseful({ arrival, finishedAtMs }: Piece): boolean {
  return finishedAtMs !== undefined && finishedAtMs <= arrival.atMs + arrival.budgetMs;
}

/** Mean number of slots that did useful work in a period. */
export function usefulSlots(pieces: readonly Piece[], fromMs: number, toMs: number): number {
  const useful = pieces.filter(isUseful).map(({ arrival, finishedAtMs = 0 }) => {
    const start = Math.max(fromMs, finishedAtMs - arrival.runMs);
    return Math.max(0, Math.min(toMs, finishedAtMs) - start);
  });
  return useful.reduce((sum, ms) => sum + ms, 0) / (toMs - fromMs);
}

/** Value below which a share of the values lies. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

/** Waits of the pieces of a kind that got a slot, in milliseconds. */
export function waitsOf(pieces: readonly Piece[], kind: WorkKind): number[] {
  return pieces.flatMap(({ arrival, waitMs }) =>
    arrival.kind === kind && waitMs !== undefined ? [waitMs] : [],
  );
}
