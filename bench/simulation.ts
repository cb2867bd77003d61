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

/** Kinds of work by actual run time, whatever was declared or learned. */
export enum WorkKind {
  Short = 'short',
  /** A request of a short operation that runs many times longer than the others. */
  Straggler = 'straggler',
  Long = 'long',
}

/** A request that arrives at a fixed time. All times are in milliseconds. */
export interface Arrival {
  atMs: number;
  service: string;
  team: string;
  operation: string;
  kind: WorkKind;
  runMs: number;
  declaredMs: number;
  /** Time after arrival at which the caller gives up. */
  timeoutMs: number;
}

/** Outcome of a simulated request. */
export interface RequestOutcome {
  arrival: Arrival;
  /** Time in the queue; undefined if the request was refused. */
  waitMs?: number;
  /** Undefined if the request was refused or did not finish before the end of the simulation. */
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
  /** Whether the scheduler receives the callers' deadlines; true by default. */
  passesDeadlines?: boolean;
}

/** Limit that no simulation reaches. */
const UNLIMITED = 100_000;

/** Time to the deadline, in milliseconds, that the scheduler receives in place of the real one. */
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

/** Whether a request finished before its caller gave up. */
export function isFinishedInTime({ arrival, finishedAtMs }: RequestOutcome): boolean {
  return finishedAtMs !== undefined && finishedAtMs <= arrival.atMs + arrival.timeoutMs;
}

/** Mean number of slots used by requests that finished in time, over a period. */
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

/** Quantile of the values by the nearest-rank method. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

/** Wait times in milliseconds of the requests of a kind that got a slot. */
export function waitTimesMs(outcomes: readonly RequestOutcome[], kind: WorkKind): number[] {
  return outcomes.flatMap(({ arrival, waitMs }) =>
    arrival.kind === kind && waitMs !== undefined ? [waitMs] : [],
  );
}
