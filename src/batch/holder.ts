import {
  AccountControl,
  AccountUsage,
  accountRuleDefaults,
  AdmissionRefusalCode,
  BudgetLedger,
  compareOwner,
  JobOwner,
  mayAccessJob,
  SHARED_FILL,
  type AccountRules,
  type AdmissionRefusal,
  type JobRequest,
  type QueuedWork,
} from '../accounts/index.js';
import type { Clock } from '../clock/index.js';
import { messageOf, toError } from '../errors/index.js';
import { StragglerHelp } from '../copies/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Random } from '../random/index.js';
import { Judgement } from '../workerHealth/index.js';
import {
  createSnapshotRow,
  declaredMs,
  RunTimes,
  SnapshotKeeper,
  type PredictMs,
} from '../runTimes/index.js';
import { PlaceWaits } from '../places/index.js';
import { AdviceCache } from './adviceCache.js';
import { ExpectedDemand } from '../pools/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Inbox } from './inbox.js';
import { placeSuspects } from './isolation.js';
import { criticalPathMs, Job, type Task } from './job.js';
import { JobTable } from './jobTable.js';
import { EntryOutcome, Journal, type JournalEntry } from './journal.js';
import {
  byAccount,
  objectiveMsOf,
  orderWaiting,
  OVERDUE_FACTOR,
  queuedWork,
  slackMsOf,
  taskWorkMs,
  turnSize,
  Urgency,
  type WaitingStep,
} from './ordering.js';
import {
  canHoldTask,
  mayUseWorker,
  placeSteps,
  type AllowedStarts,
  type Assignment,
} from './placement.js';
import type { MonitoredStore } from './monitoredStore.js';
import type { AdviceClient, WorkerClient } from './ports.js';
import { Recovery } from './recovery.js';
import { delayBeforeRoundMs } from './roundDelay.js';
import { RunControl } from './runControl.js';
import { jobKey, endedKey, inboxKey } from './rows.js';
import { decodeStoredAccount, encodeJob, type EndedJobRow } from './jobCodec.js';
import {
  JobState,
  noFeatures,
  RefusalReason,
  type BatchConfig,
  type Features,
  type JobSpec,
  type Queue,
  type Resources,
  type WorkerRecord,
} from './types.js';
import { isPoolMember, type Worker } from './worker.js';
import { Vacating, type VacateStatus } from './vacating.js';
import type { ServiceLoad } from './serviceLoad.js';
import { ServiceStateLog } from './serviceStateLog.js';
import type { Claim } from './ownership.js';
import { WorkerSessions } from './workerSessions.js';

/** Maximum number of open jobs per holder; bounds its memory use. */
const MAX_OPEN_JOBS = 4_000;
/** Retry delay for callers that are refused because the holder is full or not serving yet. */
const FULL_RETRY_MS = 2_000;
/** Retry delay for callers that are refused while the store is unavailable. */
const STORE_RETRY_MS = 1_000;
/** Retry delay for callers whose job the store never accepts; sending it again is of no use. */
export const UNSTORABLE_RETRY_MS = 60_000;
/** Maximum age of a count of pending jobs; the platform's protocol allows 2 s. */
const MAX_PENDING_AGE_MS = 1_900;
/** Interval at which due occurrences are created and delayed tasks are placed. */
const TICK_INTERVAL_MS = 100;
/**
 * Share of its CPU or memory that a pool has in use at least while tasks wait for capacity. Tasks
 * that fit on no worker wait in an empty pool, too.
 */
const SATURATED_SHARE = 0.5;

/** Result of submitting a job. */
export type SubmitOutcome =
  | { isAccepted: true }
  | {
      isAccepted: false;
      reason: RefusalReason;
      retryAfterMs: number;
      /** Input of a refusal under load, for logs. */
      load?: { workAheadMs: number; ratePerMs: number };
    };

/** Number of the jobs of a queue that have not started any task. */
export interface PendingCount {
  /** Undefined if the holder cannot know it. */
  count?: number;
  /** Time since the holder last knew all accepted jobs, in milliseconds. */
  ageMs: number;
}

/** Dependencies of a {@link Holder}. */
export interface HolderDeps {
  store: MonitoredStore;
  workers: WorkerClient;
  advice: AdviceClient;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
  /** Rules for client accounts; undefined where a deployment has none. */
  accountRules?: AccountRules;
  /** Registered workers of all services. */
  registered: () => Iterable<WorkerRecord>;
  /** Whether this process is certain to hold the service, so that lost runs may be restarted. */
  canStart: () => boolean;
  /** Whether leases may be extended and tasks without earlier runs may be started. */
  canExtend: () => boolean;
  /** Whether jobs of different client accounts have to be kept apart. */
  usesAccounts: () => boolean;
  /** Factor by which a task runs longer off its rack; 1 if undefined. */
  remoteSlowdown?: number;
  onLost: (reason: string) => void;
  /** Features that the settings of the deployment enable; none if undefined. */
  features?: Features;
  /** Time in milliseconds that a task needs to resume from a checkpoint; undefined if unknown. */
  resumeCostMs?: number;
}

/** Manages one service: its open jobs, the runs on its workers, and its journal. */
export class Holder {
  readonly service: string;
  readonly #deps: HolderDeps;
  readonly #jobs: JobTable;
  readonly #journal: Journal;
  readonly #runs: RunControl;
  readonly #sessions: WorkerSessions;
  readonly #recovery: Recovery;
  readonly #vacating: Vacating;
  readonly #demand: ExpectedDemand;
  readonly #runTimes = new RunTimes();
  readonly #predictMs: PredictMs;
  readonly #runTimesSnapshot: SnapshotKeeper;
  readonly #advice: AdviceCache;
  readonly #inbox: Inbox;
  readonly #stateLog: ServiceStateLog;
  readonly #accounts: AccountControl;
  /** Waiting steps, capacity of the pool and usage of accounts in the last placement round. */
  #waiting: WaitingStep[] = [];
  #pool: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  #usage: AccountUsage | undefined;
  /** Waiting work since the last placement round; computed when admission requires it. */
  #queuedWork: QueuedWork[] | undefined;
  readonly #features: Features;
  readonly #judgement: Judgement;
  readonly #budget: BudgetLedger;
  readonly #placeWaits: PlaceWaits;
  readonly #stragglerHelp: StragglerHelp;
  /** Tasks for which the last placement round found no worker. */
  #unplacedCount = 0;
  #indexedConfig: BatchConfig | undefined;
  #queues: ReadonlyMap<string, Queue> = new Map();
  #isPlacementScheduled = false;
  /** Duration and end of the last placement round, on the monotonic clock in milliseconds. */
  #roundMs = 0;
  #roundEndedAt = -Infinity;
  #isClosed = false;

  constructor(claim: Claim, deps: HolderDeps) {
    const { service, epoch } = claim;
    const { store, clock, log, counters } = deps;
    this.service = service;
    this.#deps = deps;
    this.#features = deps.features ?? noFeatures;
    this.#predictMs = this.#features.learnsRunTimes
      ? (step, queue) => this.#runTimes.predictMs(step, queue)
      : declaredMs;
    this.#demand = new ExpectedDemand({
      clock,
      predictMs: this.#predictMs,
      isForecast: this.#features.forecastsDemand,
    });
    const lose = deps.onLost;
    const place = () => {
      this.#requestPlacement();
    };
    const rateWindowMs = deps.accountRules?.rateWindowMs ?? accountRuleDefaults.rateWindowMs;
    this.#accounts = new AccountControl({ rateWindowMs, random: deps.random });
    this.#jobs = new JobTable({ service, clock, log, counters });
    this.#journal = new Journal({
      store,
      clock,
      log,
      counters,
      service,
      epoch,
      headVersion: claim.headVersion,
      takeDirty: (max) => this.#jobs.takeDirty(max),
      onLost: lose,
    });
    this.#jobs.onChange = () => {
      void this.#journal.barrier();
    };
    this.#judgement = new Judgement({
      service,
      clock,
      log,
      counters,
      isEnabled: this.#features.judgesWorkers,
      jobs: () => this.#jobs.open(),
      pool: () => [...this.#sessions.all()].filter(isPoolMember),
      judgedWorker: (worker) => this.#runs.judgedWorker(worker),
      read: (table) => store.readPart(table, service),
      write: (rows, settle) => {
        this.#journal.append({
          ...rows,
          conditions: [],
          settle: (outcome) => {
            settle(outcome === EntryOutcome.Applied);
          },
        });
      },
    });
    this.#budget = new BudgetLedger({
      ...deps,
      service,
      epoch,
      // The permitted overage stays a margin for runs that the holder does not know of, as after late orders.
      maxOverage: 0,
      hasCompleteView: () => this.#recovery.hasCompleteView() && !this.#sessions.hasOrphans(),
      place,
      lose,
    });
    this.#runs = new RunControl({
      ...deps,
      health: this.#features.judgesWorkers ? this.#judgement.health : undefined,
      expectedMs: ({ step }) => this.#predictMs(step.spec, step.job.spec.queue),
      epoch,
      budget: this.#budget,
      jobs: this.#jobs,
      maxAttempts: (queue) => this.#queuesByName().get(queue)?.maxAttempts ?? 1,
      place,
      discardTicket: (step, workerId, ticket) => {
        this.#advice.discard(step, workerId, ticket);
      },
      lose,
      onTaskDone: ({ step }) => {
        if (!this.#accounts.isActive) return;
        this.#accounts.addEndedWork(taskWorkMs(step, this.#pool, this.#predictMs), clock.now());
      },
      runTimes: this.#runTimes,
      mayHaveUnknownRuns: (job) =>
        this.#features.learnsRunTimes && !this.#recovery.mayStartTasks(job),
    });
    this.#runTimesSnapshot = new SnapshotKeeper({
      service,
      clock,
      log,
      counters,
      runTimes: this.#runTimes,
      rowBytes: store.limits.rowBytes,
      ...createSnapshotRow(service, store, this.#journal),
    });
    this.#jobs.onUnstorable = (job) => {
      this.#runs.stopAll(job, 'unstorable');
    };
    this.#sessions = new WorkerSessions({
      ...deps,
      service,
      epoch,
      journal: this.#journal,
      runs: this.#runs,
      leases: claim.leases,
      place,
    });
    this.#recovery = new Recovery({
      ...deps,
      claim,
      jobs: this.#jobs,
      sessions: this.#sessions,
      place,
    });
    this.#vacating = new Vacating({
      clock,
      log,
      runs: this.#runs,
      sessions: this.#sessions,
      hasSeenAllRuns: () => this.#recovery.hasCompleteView(),
    });
    this.#advice = new AdviceCache({ ...deps, place });
    this.#stragglerHelp = new StragglerHelp({
      ...deps,
      service,
      runTimes: this.#runTimes,
      runs: this.#runs,
      isPlaceable: (step) => this.#advice.isPlaceable(step, this.#queuesByName(), this.#sessions),
      ticketOf: (step, worker) => this.#advice.ticketOf(step, worker),
    });
    this.#inbox = new Inbox({
      store,
      clock,
      log,
      counters,
      service,
      jobs: this.#jobs,
      place,
      canStart: deps.canStart,
      cancel: (id, account) => void this.cancel(id, account),
      countJob: (spec) => {
        this.#countJob(spec);
      },
    });
    this.#placeWaits = new PlaceWaits({
      ...deps,
      service,
      runMsOf: ({ spec, job }) => this.#predictMs(spec, job.spec.queue),
    });
    this.#stateLog = new ServiceStateLog({
      service,
      epoch,
      clock,
      log,
      jobs: () => this.#jobs.open(),
      workers: () => this.#sessions.all(),
      heldJobCount: () => this.#recovery.heldJobCount,
    });
  }

  /** Loads the open jobs, then manages the service until the lifecycle is closed. */
  async run(lifecycle: Lifecycle): Promise<void> {
    const { signal } = lifecycle;
    lifecycle.own('service holder', () => {
      this.#isClosed = true;
    });
    const journal = this.#journal.run(signal);
    if (this.#features.learnsRunTimes) void this.#runTimesSnapshot.load(signal);
    if (!(await this.#recovery.load(signal))) return;
    this.#restoreRates();
    await Promise.all([
      journal,
      this.#sessions.run(signal),
      this.#judgement.load(signal),
      this.#inbox.run(signal),
      this.#budget.run(signal),
      this.#tick(signal),
    ]);
  }

  async #tick(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    do {
      const wallTime = clock.wallTime();
      for (const job of this.#jobs.open()) if (job.hasSchedule) job.createDueOccurrences(wallTime);
      this.#vacating.proceed();
      this.#judgement.update();
      this.#requestPlacement();
      if (this.#features.learnsRunTimes) this.#runTimesSnapshot.update();
      this.#stateLog.update(TICK_INTERVAL_MS, this.#unplacedCount);
      for (const [account, share] of this.#usage?.shares() ?? [])
        this.#deps.counters.count('account_share_ms', account, share * TICK_INTERVAL_MS);
    } while (await clock.sleep(TICK_INTERVAL_MS, signal));
  }

  get isLoaded(): boolean {
    return this.#recovery.isLoaded;
  }

  /** Submits a job. Resolves once the job is durable. */
  async submit(spec: JobSpec): Promise<SubmitOutcome> {
    if (!this.isLoaded || this.#isClosed) {
      return { isAccepted: false, reason: RefusalReason.NotHolder, retryAfterMs: FULL_RETRY_MS };
    }
    const isKnown = await this.#jobs.awaitAcceptance(spec.id);
    if (isKnown) return this.#answerKnown(spec);
    // Another submission with this id started to be written during the wait.
    if (this.#jobs.isPending(spec.id)) return this.submit(spec);
    if (this.#deps.store.isSuspect()) {
      this.#deps.counters.count('refusals', RefusalReason.StoreSuspect);
      return {
        isAccepted: false,
        reason: RefusalReason.StoreSuspect,
        retryAfterMs: STORE_RETRY_MS,
      };
    }
    if (this.#jobs.size >= MAX_OPEN_JOBS) {
      this.#deps.counters.count('refusals', 'too_many_open_jobs');
      return { isAccepted: false, reason: RefusalReason.Full, retryAfterMs: FULL_RETRY_MS };
    }
    const refusal = this.#refuseUnderLoad(spec);
    if (refusal) {
      const { retryAfterMs, workAheadMs, ratePerMs } = refusal;
      const reason = refusalReasons[refusal.code];
      return { isAccepted: false, reason, retryAfterMs, load: { workAheadMs, ratePerMs } };
    }
    this.#countJob(spec);
    const outcome = await this.#jobs.trackAcceptance(spec.id, this.#writeJob(spec));
    if (outcome !== EntryOutcome.Applied) this.#uncountJob(spec);
    if (outcome === EntryOutcome.HolderLost) {
      return { isAccepted: false, reason: RefusalReason.Unresolved, retryAfterMs: 0 };
    }
    if (outcome === EntryOutcome.Rejected) {
      this.#deps.counters.count('refusals', RefusalReason.Unstorable);
      return {
        isAccepted: false,
        reason: RefusalReason.Unstorable,
        retryAfterMs: UNSTORABLE_RETRY_MS,
      };
    }
    // On a conflict, the job was already accepted through another process.
    if (outcome !== EntryOutcome.Applied) return this.#answerKnown(spec);
    this.#openJob(spec);
    return { isAccepted: true };
  }

  /** Answers a submission with the id of an accepted job, which may be another account's. */
  async #answerKnown(spec: JobSpec): Promise<SubmitOutcome> {
    if (!this.#deps.usesAccounts()) return { isAccepted: true };
    const found = this.#jobs.find(spec.id);
    const owner = found ? compareOwner(found.account, spec.account) : await this.#storedOwner(spec);
    if (owner === JobOwner.Same) return { isAccepted: true };
    if (owner === JobOwner.Unknown) {
      return { isAccepted: false, reason: RefusalReason.Unresolved, retryAfterMs: 0 };
    }
    this.#deps.counters.count('refusals', RefusalReason.IdInUse);
    return {
      isAccepted: false,
      reason: RefusalReason.IdInUse,
      retryAfterMs: UNSTORABLE_RETRY_MS,
    };
  }

  /** Reads whose job the store has under the id of a submitted one. */
  async #storedOwner({ id, account }: JobSpec): Promise<JobOwner> {
    // In the order in which the rows of a job are written, so that none is missed.
    for (const key of [inboxKey, jobKey, endedKey]) {
      const res = await this.#deps.store.readRow(key(this.service, id));
      if (res.isErr) return JobOwner.Unknown;
      if (!res.value) continue;
      const owner = decodeStoredAccount(res.value);
      return owner.isOk ? compareOwner(owner.value, account) : JobOwner.Unknown;
    }
    return JobOwner.Unknown;
  }

  #writeJob(spec: JobSpec): Promise<EntryOutcome> {
    const { id } = spec;
    return new Promise((settle) => {
      this.#journal.append({
        conditions: [
          { ...inboxKey(this.service, id), version: 0 },
          { ...endedKey(this.service, id), version: 0 },
        ],
        writes: [{ ...jobKey(this.service, id), value: encodeJob(spec) }],
        removes: [],
        account: this.#itemAccount(spec),
        settle,
      });
    });
  }

  #itemAccount({ account }: JobSpec): JournalEntry['account'] {
    if (account === undefined || !this.#accounts.isActive) return undefined;
    return { name: account, weight: this.#accounts.weightOf(account) };
  }

  /** Counts a job for its account's rate and records the result in the job. */
  #countJob(spec: JobSpec): void {
    const { clock, counters } = this.#deps;
    this.#queuesByName();
    if (spec.account === undefined || !this.#accounts.isActive) return;
    spec.isBeyondRate = this.#accounts.countJob(spec.account, clock.now());
    if (spec.isBeyondRate) counters.count('jobs_beyond_rate', spec.account);
  }

  /** Takes back the count of a job that was not accepted. */
  #uncountJob({ account, isBeyondRate }: JobSpec): void {
    if (account === undefined || isBeyondRate !== false) return;
    this.#accounts.giveBack(account, this.#deps.clock.now());
  }

  /** Counts the jobs that an earlier holder accepted, so that they are ordered the same way. */
  #restoreRates(): void {
    this.#queuesByName();
    if (!this.#accounts.isActive) return;
    const jobs = [...this.#jobs.open()].flatMap(({ spec, acceptedAt }) =>
      spec.account === undefined
        ? []
        : [{ spec, acceptedAt, account: spec.account, isBeyondRate: spec.isBeyondRate }],
    );
    this.#accounts.restore(jobs, ({ spec }, isBeyondRate) => {
      spec.isBeyondRate = isBeyondRate;
    });
  }

  /** Decides whether a job that this holder does not know is refused under load. */
  #refuseUnderLoad(spec: JobSpec): AdmissionRefusal | undefined {
    const queue = this.#queuesByName().get(spec.queue);
    const { account, steps } = spec;
    if (account === undefined || !this.#accounts.isActive) return undefined;
    if (spec.occurrences > 0 || steps.some(({ isLasting }) => isLasting)) return undefined;
    const now = this.#deps.clock.now();
    const objectiveMs = objectiveMsOf({ spec }, queue, this.#predictMs);
    const job: JobRequest = {
      account,
      isBeyondRate: this.#accounts.isBeyondRate(account, now),
      priority: queue?.priority ?? 0,
      pathMs: criticalPathMs(spec, this.#predictMs),
      objectiveMs,
      valueMs: objectiveMs * OVERDUE_FACTOR,
    };
    const queued = () =>
      (this.#queuedWork ??= queuedWork(this.#waiting, this.#pool, this.#predictMs));
    const hopeless = this.#accounts.refuseHopeless(job, queued, now);
    if (hopeless || this.#jobs.size < MAX_OPEN_JOBS * SHARED_FILL) return hopeless;
    const accounts = [...this.#jobs.open()].map((open) => open.spec.account);
    const open = { accounts, limit: MAX_OPEN_JOBS, defaultRetryMs: FULL_RETRY_MS };
    return this.#accounts.refuseAboveShare(job, open, queued, now);
  }

  #openJob(spec: JobSpec): void {
    const { clock, log, config } = this.#deps;
    const job = new Job(spec, clock.now(), 1);
    job.createDueOccurrences(clock.wallTime());
    this.#demand.add(spec);
    this.#jobs.add(job);
    log.info('job_accepted', {
      job: spec.id,
      queue: spec.queue,
      service: this.service,
      account: spec.account,
      steps: spec.steps.length,
      tasks: spec.steps.reduce((sum, { count }) => sum + count, 0),
      lasting: job.isLasting,
      path_ms: Math.round(criticalPathMs(spec, this.#predictMs)),
      config: config()?.version,
    });
    this.#requestPlacement();
  }

  /** State and account of an open or recently ended job; undefined if the holder knows no such job. */
  find(id: string): EndedJobRow | undefined {
    return this.#jobs.find(id);
  }

  /**
   * Cancels a job. Resolves once the cancellation is durable.
   *
   * @param account - account of the caller; undefined if its queue needs no key
   * @returns whether it became durable; undefined when the account has no such open job
   */
  async cancel(id: string, account: string | undefined): Promise<boolean | undefined> {
    const job = this.#jobs.get(id);
    if (!job || (this.#deps.usesAccounts() && !mayAccessJob(job.spec.account, account)))
      return undefined;
    const isDurable = await this.#jobs.close(job, JobState.Cancelled);
    if (isDurable) this.#runs.stopAll(job, 'cancelled');
    return isDurable;
  }

  /**
   * Number of open jobs of a queue that have not started any task. Unknown while this process may
   * have a successor, or has not seen the jobs that gateways wrote to the store recently.
   */
  pending(queue: string): PendingCount {
    const ageMs = this.#inbox.ageMs();
    if (ageMs > MAX_PENDING_AGE_MS || !this.#deps.canStart()) return { ageMs };
    let count = 0;
    for (const job of this.#jobs.open()) {
      if (job.spec.queue === queue && job.state === JobState.Queued) count++;
    }
    return { ageMs, count };
  }

  /** Drains a worker for planned work. Must be repeated until it is ready, as requests expire. */
  vacate(workerId: string, isUrgent: boolean): VacateStatus {
    return this.#vacating.request(workerId, isUrgent);
  }

  /** Makes a worker available for new tasks again. */
  readmit(workerId: string): void {
    this.#vacating.cancel(workerId);
  }

  /** Handles the notice that planned work has ended all runs on a worker. */
  handleRunsEnded(workerId: string): void {
    this.#vacating.ended(workerId);
  }

  /** Load of the service, as input for the VM move policy. */
  load(): ServiceLoad {
    return this.#sessions.load([...this.#jobs.open()], this.#demand.cpu(), this.#predictMs);
  }

  /** Queues of the active configuration by name; rebuilt when the configuration changes. */
  #queuesByName(): ReadonlyMap<string, Queue> {
    const config = this.#deps.config();
    if (config !== this.#indexedConfig) {
      this.#indexedConfig = config;
      this.#queues = new Map(config?.queues.map((queue) => [queue.name, queue]));
      this.#accounts.configure(config?.accounts);
    }
    return this.#queues;
  }

  /** Schedules a placement round unless one is already scheduled. */
  #requestPlacement(): void {
    if (this.#isPlacementScheduled || this.#isClosed) return;
    this.#isPlacementScheduled = true;
    const { clock, counters, log } = this.#deps;
    const delayMs = delayBeforeRoundMs(this.#roundMs, clock.now() - this.#roundEndedAt);
    clock.setTimer(delayMs, () => {
      this.#isPlacementScheduled = false;
      const startedAt = clock.now();
      // An error must not end the process; the tick requests the next round.
      try {
        this.#placeTasks();
      } catch (err) {
        counters.count('placement_failures', toError(err).name);
        log.warn('placement_failed', { service: this.service, error: messageOf(err) });
      }
      this.#roundEndedAt = clock.now();
      this.#roundMs = this.#roundEndedAt - startedAt;
    });
  }

  #placeTasks(): void {
    const { clock, canStart, canExtend } = this.#deps;
    if (this.#isClosed || !this.isLoaded || !canExtend()) return;
    const mayRestart = canStart();
    const now = clock.now();
    const queues = this.#queuesByName();
    const jobs = [...this.#jobs.open()].filter((job) => this.#recovery.mayStartTasks(job));
    const hasAccounts = this.#accounts.isActive;
    const queueOf = (name: string) => queues.get(name);
    const rules = { hasAccounts, predictMs: this.#predictMs };
    const waiting = orderWaiting(jobs, queueOf, now, clock.wallTime(), rules).filter(({ step }) =>
      this.#advice.isPlaceable(step, queues, this.#sessions),
    );
    const steps = waiting.map(({ step }) => step);
    const workers = [...this.#sessions.all()];
    this.#judgement.applyTo(workers);
    const usage = hasAccounts ? this.#measureUsage(workers) : undefined;
    this.#usage = usage;
    const allowedStarts: AllowedStarts = (step, count) => {
      const { spec, job } = step;
      const canStart = () =>
        workers.some((worker) => worker.acceptsRuns(now) && canHoldTask(step, worker));
      const { isGang, fillsSpare } = spec;
      const tasks = { needs: spec, count, isGang, fillsSpare, canStart };
      return this.#budget.allowedStarts(job.spec.account, tasks);
    };
    const candidates = waiting.map((each) => ({ step: each.step, slackMs: slackMsOf(each) }));
    const places = this.#placeWaits.plan(candidates, jobs, { workers, mayUse: mayUseWorker });
    const round = { steps, workers, now, mayRestart, allowedStarts, places };
    this.#budget.beginRound();
    const start = ({ task, worker }: Assignment) => {
      if (usage) addToUsage(usage, task);
      this.#placeWaits.handleStart(task, worker, places);
      this.#runs.start(task, worker, this.#advice.ticketOf(task.step, worker));
    };
    const maxStarts = () => this.#runs.freeStarts;
    const waitingSuspects = placeSuspects({ ...round, maxStarts: maxStarts() }, start);
    const fairRound = usage ? { ...round, steps: byAccount(waiting, usage), turnSize } : round;
    this.#unplacedCount =
      waitingSuspects + placeSteps({ ...fairRound, maxStarts: maxStarts() }, start);
    const isRoomIdle = !waiting.some(
      ({ step, urgency }) => urgency <= Urgency.OnTime && step.idleCount > 0,
    );
    // Another holder may have started a copy already.
    if (mayRestart && this.#features.learnsRunTimes) {
      this.#stragglerHelp.update({ jobs, workers, isRoomIdle, allowedStarts });
    }
    this.#budget.endRound(() => freeResources(workers, now));
    this.#waiting = hasAccounts ? waiting : [];
    if (!hasAccounts) return;
    this.#queuedWork = undefined;
    this.#accounts.updateSaturation(this.#unplacedCount > 0 && isInUse(workers, this.#pool), now);
  }

  /** Measures the capacity of the pool and what each account holds of it. */
  #measureUsage(workers: readonly Worker[]): AccountUsage {
    const pool = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { record, isAdmitted, isGone } of workers) {
      if (!isAdmitted || isGone) continue;
      pool.cpuMillis += record.capacity.cpuMillis;
      pool.memoryMb += record.capacity.memoryMb;
      pool.accelerators += record.capacity.accelerators;
    }
    this.#pool = pool;
    const usage = new AccountUsage(pool, (account) => this.#accounts.weightOf(account));
    for (const { runs } of workers) for (const { task } of runs.values()) addToUsage(usage, task);
    return usage;
  }
}

/** Reasons of refusals under load. */
const refusalReasons: Readonly<Record<AdmissionRefusalCode, RefusalReason>> = {
  [AdmissionRefusalCode.Hopeless]: RefusalReason.Hopeless,
  [AdmissionRefusalCode.AccountShare]: RefusalReason.AccountShare,
};

function addToUsage(usage: AccountUsage, { step }: Task): void {
  const { account } = step.job.spec;
  if (account !== undefined) usage.add(account, step.spec, !step.spec.fillsSpare);
}

/** Whether much of the pool's CPU or memory is in use. */
function isInUse(workers: readonly Worker[], pool: Resources): boolean {
  let cpuMillis = 0;
  let memoryMb = 0;
  for (const worker of workers) {
    cpuMillis += worker.cpuUsed;
    memoryMb += worker.memoryUsed;
  }
  return (
    cpuMillis >= pool.cpuMillis * SATURATED_SHARE || memoryMb >= pool.memoryMb * SATURATED_SHARE
  );
}

/** Free resources of the workers that accept runs. */
function freeResources(workers: readonly Worker[], now: number): Resources {
  const free = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const worker of workers) {
    if (!worker.acceptsRuns(now)) continue;
    const { capacity } = worker.record;
    free.cpuMillis += Math.max(0, capacity.cpuMillis - worker.cpuUsed);
    free.memoryMb += Math.max(0, capacity.memoryMb - worker.memoryUsed);
    free.accelerators += Math.max(0, capacity.accelerators - worker.acceleratorsUsed);
  }
  return free;
}
