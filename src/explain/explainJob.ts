import { HeldReason, type AccountsPreview, type AccountUsage } from '../accounts/index.js';
import { placeSuspects } from '../batch/isolation.js';
import { Job, type Step, type Task } from '../batch/job.js';
import {
  byAccount,
  orderWaiting,
  slackMsOf,
  turnSize,
  type OrderRules,
  type WaitingStep,
} from '../batch/ordering.js';
import {
  mayUseWorker,
  obstacleToTask,
  placeSteps,
  type AllowedStarts,
  type Assignment,
} from '../batch/placement.js';
import type { JobSpec, QueueTerms, RefusedSubmission } from '../batch/types.js';
import { createRun, RunPhase, type Worker } from '../batch/worker.js';
import type { PlaceDecision, PlaceWaits, ReportedPlaces } from '../places/index.js';
import type { Standing } from '../workerHealth/index.js';
import { explainDefaults } from './defaults.js';
import { copyState } from './stateCopy.js';
import {
  Unknown,
  WaitReason,
  type HolderExplanation,
  type LeftOutWorkers,
  type TaskPlace,
} from './types.js';

/** State of a holder and the decisions that have no effect on it. Times are in milliseconds. */
export interface HolderState {
  /** The job, with its standing to its account's rate. */
  spec: JobSpec;
  service: string;
  /** Monotonic time. */
  now: number;
  /** Unix time. */
  wallTimeMs: number;
  configVersion: number | undefined;
  /** Why the job would be refused, without jitter in its Retry-After. */
  refusal: RefusedSubmission | undefined;
  /** Open jobs. */
  jobs: readonly Job[];
  /** Whether the tasks of a job may not start yet, because their runs may be unknown. */
  isHeld: (job: Job) => boolean;
  workers: readonly Worker[];
  standingOf: (workerId: string) => Standing;
  queues: ReadonlyMap<string, QueueTerms>;
  rules: Required<OrderRules>;
  /** Whether a step of the holder needs no tickets or has them. */
  hasTickets: (step: Step) => boolean;
  accounts: AccountsPreview;
  previewPlaces: PlaceWaits['preview'];
  /** Whether ownership of the service is certain. */
  mayRestart: boolean;
  /** Whether the holder may start tasks at all. */
  mayStart: boolean;
  /** Number of start orders that may be sent now. */
  maxStarts: number;
  inboxAgeMs: number;
  roundAgeMs: number;
}

/** What a placement round on the copied state did with the tasks of the job. */
interface TrialRound {
  assigned: Map<Task, Worker>;
  waits: Map<Task, PlaceDecision>;
  held: Map<Step, HeldReason>;
  isWindowFull: boolean;
}

/**
 * Explains what would be done with a job now. Runs the decisions of a placement round on a copy of the
 * holder's jobs and workers, to which the job is added.
 */
export function explainJob(state: HolderState): HolderExplanation {
  const { spec, now, wallTimeMs, queues, rules, refusal, jobs } = state;
  const copies = copyState(
    jobs.filter((job) => !state.isHeld(job)),
    state.workers,
  );
  const job = new Job(spec, now, 1);
  job.createDueOccurrences(wallTimeMs);
  for (const worker of copies.workers) worker.setStanding(state.standingOf(worker.record.id));
  const queueOf = (name: string) => queues.get(name);
  const ordered = orderWaiting([...copies.jobs, job], queueOf, now, wallTimeMs, rules);
  const hasTickets = (step: Step) => state.hasTickets(copies.recorded.get(step) ?? step);
  const waiting = ordered.filter(({ step }) => hasTickets(step));
  const usage = state.accounts.measureUsage(copies.workers);
  const round = state.mayStart
    ? runRound(state, { waiting, usage, workers: copies.workers, recorded: copies.recorded })
    : undefined;
  const own = ordered.filter(({ step }) => step.job === job).map(({ step }) => step);
  const steps = round?.steps ?? ordered.map(({ step }) => step);
  const first = steps.findIndex((step) => step.job === job);
  const ahead = first < 0 ? [] : steps.slice(0, first);
  const startable = own.flatMap(({ tasks }) => tasks);
  const placeOf = (task: Task) => describeTask(task, { state, round, hasTickets });
  const acceptsRuns = state.workers.filter((worker) => worker.acceptsRuns(now));
  const oldestWorkerMs = Math.max(...acceptsRuns.map(({ lastContactAt }) => now - lastContactAt));
  return {
    service: state.service,
    configVersion: state.configVersion,
    isAccepted: !refusal,
    ...(refusal && {
      refusal: {
        reason: refusal.reason,
        retryAfterMs: Math.ceil(refusal.retryAfterMs),
        ...(refusal.load && { workAheadMs: Math.round(refusal.load.workAheadMs) }),
      },
    }),
    ...(spec.isBeyondRate !== undefined && { isBeyondRate: spec.isBeyondRate }),
    stepsAhead: ahead.length,
    waitingSteps: ordered.length - own.length,
    ahead: ahead.slice(0, explainDefaults.maxAhead).map((step) => ({
      job: step.job.spec.id,
      step: step.number,
      ...(step.job.spec.account !== undefined && { account: step.job.spec.account }),
      tasks: round?.idleBefore.get(step) ?? step.idleCount,
    })),
    startableTasks: startable.length,
    startedTasks: startable.filter((task) => round?.assigned.has(task)).length,
    tasks: startable.slice(0, explainDefaults.maxTasks).map(placeOf),
    leftOut: own
      .slice(0, explainDefaults.maxSteps)
      .map((step) => leftOutOf(step, copies.workers, now)),
    workers: state.workers.length,
    unknown: unknownOf(state, own, { hasTickets, round }),
    ages: {
      ...finite('inboxMs', state.inboxAgeMs),
      ...finite('roundMs', state.roundAgeMs),
      ...finite('oldestWorkerMs', oldestWorkerMs),
    },
  };
}

/** Runs a placement round on copied jobs and workers, as the holder does. */
function runRound(
  state: HolderState,
  input: {
    waiting: readonly WaitingStep[];
    usage: AccountUsage | undefined;
    workers: readonly Worker[];
    recorded: ReadonlyMap<Step, Step>;
  },
): TrialRound & { steps: Step[]; idleBefore: Map<Step, number> } {
  const { now, accounts, mayRestart, maxStarts } = state;
  const { waiting, usage, workers, recorded } = input;
  const trial = {
    assigned: new Map<Task, Worker>(),
    waits: new Map<Task, PlaceDecision>(),
    held: new Map<Step, HeldReason>(),
  };
  const idleBefore = new Map(waiting.map(({ step }) => [step, step.idleCount]));
  const allowedStarts: AllowedStarts = (step, count) => {
    const { allowed, reason } = accounts.decideStarts(step, count, { workers, now });
    if (reason !== undefined) trial.held.set(step, reason);
    return allowed;
  };
  const candidates = waiting.map((each) => ({
    step: each.step,
    slackMs: slackMsOf(each),
    recorded: recorded.get(each.step) ?? each.step,
  }));
  const planned = state.previewPlaces(candidates, { workers, mayUse: mayUseWorker });
  const places: ReportedPlaces | undefined = planned && {
    ...planned,
    handleWait: (task, decision) => trial.waits.set(task, decision),
  };
  const start = ({ task, worker }: Assignment) => {
    const { step } = task;
    accounts.addStart(task, usage);
    const phase = RunPhase.Starting;
    const run = createRun({ task, worker, number: task.nextRun, phase, startedAt: now });
    step.job.attach(task, run);
    worker.add(run);
    trial.assigned.set(task, worker);
  };
  const steps = waiting.map(({ step }) => step);
  const round = { steps, workers, now, mayRestart, allowedStarts, places };
  placeSuspects({ ...round, maxStarts }, start);
  const seen = new Set<Step>();
  const listed = function* (source: Iterable<Step>) {
    for (const step of source) {
      seen.add(step);
      yield step;
    }
  };
  const order = listed(usage ? byAccount(waiting, usage) : steps);
  const turns = usage ? { turnSize } : {};
  placeSteps(
    { ...round, ...turns, steps: order, maxStarts: maxStarts - trial.assigned.size },
    start,
  );
  return {
    ...trial,
    steps: [...seen],
    idleBefore,
    isWindowFull: trial.assigned.size >= maxStarts,
  };
}

function describeTask(
  task: Task,
  {
    state,
    round,
    hasTickets,
  }: { state: HolderState; round: TrialRound | undefined; hasTickets: (step: Step) => boolean },
): TaskPlace {
  const { step, index } = task;
  const place = { step: step.number, task: index };
  if (!round) return { ...place, waitsFor: WaitReason.HolderMayNotStart };
  const worker = round.assigned.get(task);
  if (worker) return { ...place, worker: worker.record.id };
  if (!hasTickets(step)) return { ...place, waitsFor: WaitReason.Tickets };
  const wait = round.waits.get(task);
  if (wait) {
    const { reason, rack, waitMs } = wait;
    return { ...place, waitsFor: WaitReason.Rack, reason, rack, ...finite('waitMs', waitMs) };
  }
  const reason = round.held.get(step);
  if (reason !== undefined) return { ...place, waitsFor: WaitReason.AccountLimit, reason };
  const isWindowFull = round.isWindowFull || state.maxStarts <= 0;
  return { ...place, waitsFor: isWindowFull ? WaitReason.StartWindow : WaitReason.Worker };
}

function leftOutOf(step: Step, workers: readonly Worker[], now: number): LeftOutWorkers {
  const reasons: LeftOutWorkers['reasons'] = {};
  for (const worker of workers) {
    const obstacle = worker.obstacleToRuns(now) ?? obstacleToTask(step, worker);
    if (obstacle !== undefined) reasons[obstacle] = (reasons[obstacle] ?? 0) + 1;
  }
  return { step: step.number, reasons };
}

function unknownOf(
  { spec, refusal, jobs, isHeld }: HolderState,
  own: readonly Step[],
  { hasTickets, round }: { hasTickets: (step: Step) => boolean; round: TrialRound | undefined },
): Unknown[] {
  const unknown: Unknown[] = [];
  if (refusal?.load) unknown.push(Unknown.RetryJitter);
  if (!own.every(hasTickets)) unknown.push(Unknown.Tickets);
  if (own.some((step) => round?.held.get(step) === HeldReason.NoGrant)) unknown.push(Unknown.Grant);
  if (spec.occurrences > 0) unknown.push(Unknown.Schedule);
  if (jobs.some(isHeld)) unknown.push(Unknown.InheritedJobs);
  return unknown;
}

/** A field with a rounded value; none if the value is not finite. */
function finite<K extends string>(name: K, value: number): Partial<Record<K, number>> {
  if (!Number.isFinite(value)) return {};
  return { [name]: Math.round(value) } as Partial<Record<K, number>>;
}
