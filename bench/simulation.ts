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
  timeoutMs: number;
}

/** What became of an arrival. */
export interface RequestOutcome {
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

const UNLIMITED = 100_000;

/** Deadline given to the scheduler when it must not know the real one, in milliseconds. */
const FAR_DEADLINE_MS = 1e6;

/** Runs the real scheduler against simulated executors. */
export async function simulate(options: SimulationOptions): Promise<RequestOutcome[]> {
  const time = createSimulatedTime();
  const { clock } = time;
  const scheduler = createScheduler({
    clock,
    metrics: new Metrics(),
    settings: schedulingSchema.parse(options.settings ?? {}),
    policy: options.policy,
    service: (id) => ({ id, pool: id, maxQueued: UNLIMITED, spill: false, minAvailableSlots: 0 }),
    team: (id): Team => ({
      id,
      weight: 1,
      maxQueued: UNLIMITED,
      maxRunning: UNLIMITED,
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
  const outcomes: RequestOutcome[] = options.arrivals.map((arrival) => ({ arrival }));

  const run = async (outcome: RequestOutcome, grant: SlotGrant) => {
    outcome.waitMs = grant.waitedMs;
    const { runMs } = outcome.arrival;
    await clock.sleep(runMs);
    outcome.finishedAtMs = clock.now();
    grant.release(runMs);
  };
  const submit = async (outcome: RequestOutcome, index: number) => {
    const item = toWorkItem(outcome.arrival, index, options.passesDeadlines ?? true);
    const result = await scheduler.submit(item);
    if (result.isOk) await run(outcome, result.value);
  };
  const submitAll = async () => {
    for (const [index, outcome] of outcomes.entries()) {
      const delayMs = outcome.arrival.atMs - clock.now();
      if (delayMs > 0) await clock.sleep(delayMs);
      void submit(outcome, index);
    }
  };
  void submitAll();
  await time.runUntil(options.endMs);
  stopScheduler(scheduler);
  return outcomes;
}

function stopScheduler(scheduler: Scheduler): void {
  scheduler.setExecutors([]);
  scheduler.close();
}

function toWorkItem(arrival: Arrival, index: number, passesDeadline: boolean): WorkItem {
  const { service, team, operation, declaredMs, atMs, timeoutMs } = arrival;
  const deadline = atMs + (passesDeadline ? timeoutMs : FAR_DEADLINE_MS);
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
export function isFinishedInTime({ arrival, finishedAtMs }: RequestOutcome): boolean {
  return finishedAtMs !== undefined && finishedAtMs <= arrival.atMs + arrival.timeoutMs;
}

/** Mean number of slots that did useful work in a period. */
export function usefulSlots(
  outcomes: readonly RequestOutcome[],
  fromMs: number,
  toMs: number,
): number {
  const useful = outcomes.filter(isFinishedInTime).map(({ arrival, finishedAtMs = 0 }) => {
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
export function waitTimesMs(outcomes: readonly RequestOutcome[], kind: WorkKind): number[] {
  return outcomes.flatMap(({ arrival, waitMs }) =>
    arrival.kind === kind && waitMs !== undefined ? [waitMs] : [],
  );
}
