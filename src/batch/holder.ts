import {
  FULL_RETRY_MS,
  mayAccessJob,
  refusal,
  ServiceAccounts,
  UNSTORABLE_RETRY_MS,
  type AccountRules,
} from '../accounts/index.js';
import type { BusyMeter, Clock } from '../clock/index.js';
import { StragglerHelp } from '../copies/index.js';
import { explainJob, type HolderExplanation } from '../explain/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { LoadPacing } from '../loadPacing/index.js';
import { PlaceWaits } from '../places/index.js';
import { ExpectedDemand } from '../pools/index.js';
import type { Random } from '../random/index.js';
import { RunTimeLearning } from '../runTimes/index.js';
import { createOpinionRows, Judgement } from '../workerHealth/index.js';
import { AdviceCache } from './adviceCache.js';
import { Cancellations } from './cancellations.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Inbox } from './inbox.js';
import { placeSuspects } from './isolation.js';
import { criticalPathMs, Job, type Step } from './job.js';
import type { EndedJobRow } from './jobCodec.js';
import { IdState, unsharedClaim, type JobIds } from './jobIds.js';
import { AcceptanceOutcome, JobTable } from './jobTable.js';
import { Journal, type TransactionSize } from './journal.js';
import type { MonitoredStore } from './monitoredStore.js';
import {
  byAccount,
  isWaitingInTime,
  jobTimesOf,
  orderWaiting,
  queuedWork,
  slackMsOf,
  taskWorkMs,
  turnSize,
  type OrderRules,
} from './ordering.js';
import type { Claim } from './ownership.js';
import { canHoldTask, mayUseWorker, placeSteps, type Assignment } from './placement.js';
import type { AdviceClient, WorkerClient } from './ports.js';
import { QueueRules } from './queueRules.js';
import { Recovery } from './recovery.js';
import { RoundTimer } from './roundDelay.js';
import { RunControl } from './runControl.js';
import type { ServiceLoad } from './serviceLoad.js';
import { ServiceStateLog, Timeliness } from './serviceStateLog.js';
import {
  JobState,
  noFeatures,
  RefusalReason,
  type BatchConfig,
  type Features,
  type JobSpec,
  type PendingCount,
  type QueuePath,
  type QueueTerms,
  type SubmitOutcome,
  type WorkerRecord,
} from './types.js';
import { Vacating, type VmListing, type VacateOptions, type VacateStatus } from './vacating.js';
import { isPoolMember } from './worker.js';
import { WorkerSessions } from './workerSessions.js';

/** Maximum age of a count of pending jobs; the platform's protocol allows 2 s. */
const MAX_PENDING_AGE_MS = 1_900;
/** Maximum number of queues whose assignments are recorded before they have jobs. */
const MAX_PREPARED_QUEUES = 20;
/** Interval at which due occurrences are created and delayed tasks are placed. */
const TICK_INTERVAL_MS = 100;

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
  ids: JobIds;
  /** Factor by which a task runs longer off its rack; 1 if undefined. */
  remoteSlowdown?: number;
  onLost: (reason: string) => void;
  /** Features that the settings of the deployment enable; none if undefined. */
  features?: Features;
  /** Time in milliseconds that a task needs to resume from a checkpoint; undefined if unknown. */
  resumeCostMs?: number;
  /** Creates meters of how busy the process is; undefined where that is not measured. */
  createBusyMeter?: () => BusyMeter;
}

/** Reasons for refusing a job by the state of its id. */
const claimRefusals: Record<Exclude<IdState, IdState.Free | IdState.Taken>, RefusalReason> = {
  [IdState.InUse]: RefusalReason.IdInUse,
  [IdState.Unresolved]: RefusalReason.Unresolved,
  [IdState.Unknown]: RefusalReason.StoreUnavailable,
};

/** Dependencies of the parts of a holder. */
interface PartDeps extends HolderDeps {
  service: string;
  epoch: number;
  pacing: LoadPacing;
  /** Requests a placement round. */
  place: () => void;
  /** Gives up the service. */
  lose: (reason: string) => void;
}

/** Manages one service: its open jobs, the runs on its workers, and its journal. */
export class Holder {
  readonly service: string;
  readonly #deps: HolderDeps;
  readonly #features: Features;

  // Jobs and their rows.
  readonly #jobs: JobTable;
  readonly #journal: Journal;
  readonly #inbox: Inbox;
  readonly #recovery: Recovery;

  // Workers and their runs.
  readonly #runs: RunControl;
  readonly #sessions: WorkerSessions;
  readonly #vacating: Vacating;
  readonly #judgement: Judgement;

  // Run times, demand and client accounts.
  readonly #learning: RunTimeLearning;
  readonly #demand: ExpectedDemand;
  readonly #accounts: ServiceAccounts;

  // Placement.
  readonly #pacing: LoadPacing;
  readonly #roundTimer: RoundTimer;
  readonly #advice: AdviceCache;
  readonly #placeWaits: PlaceWaits;
  readonly #stragglerHelp: StragglerHelp;
  readonly #stateLog: ServiceStateLog;
  /** Tasks for which the last placement round found no worker. */
  #unplacedCount = 0;

  readonly #queueRules: QueueRules;
  #indexedConfig: BatchConfig | undefined;
  #isClosed = false;

  constructor(claim: Claim, deps: HolderDeps) {
    const { service, epoch, headVersion, leases } = claim;
    this.service = service;
    this.#deps = deps;
    this.#features = deps.features ?? noFeatures;
    const { learnsRunTimes, forecastsDemand: isForecast } = this.#features;
    const place = () => {
      this.#requestPlacement();
    };
    const busyShare = deps.createBusyMeter?.();
    const pacing = (this.#pacing = new LoadPacing({ busyShare }));
    const parts: PartDeps = { ...deps, service, epoch, pacing, place, lose: deps.onLost };

    const jobs = (this.#jobs = new JobTable(parts));
    const takeDirty = (max: TransactionSize) => jobs.takeDirty(max);
    const journal = (this.#journal = new Journal({ ...parts, headVersion, takeDirty }));
    jobs.onChange = () => {
      void journal.barrier();
    };
    const cancel = (job: Job) => void this.#cancelJob(job);
    const cancellations = new Cancellations({ ...parts, jobs, cancel });
    const openJobs = () => jobs.open();
    const queueRules = (this.#queueRules = new QueueRules({ ...parts, openJobs }));
    jobs.onAdded = (job) => {
      queueRules.handleAdded(job);
      cancellations.handleAdded(job);
    };

    this.#learning = new RunTimeLearning({ ...parts, journal, isEnabled: learnsRunTimes });
    const { runTimes, predictMs } = this.#learning;
    const envelope = () => this.#sessions.envelope;
    this.#demand = new ExpectedDemand({ ...parts, predictMs, envelope, isForecast });
    this.#accounts = this.#createAccounts(parts);

    this.#judgement = this.#createJudgement(parts);
    const runs = (this.#runs = this.#createRunControl(parts));
    jobs.onUnstorable = (job) => {
      runs.stopAll(job, 'unstorable');
    };
    const sessions = (this.#sessions = new WorkerSessions({ ...parts, journal, runs, leases }));
    const recovery = (this.#recovery = new Recovery({
      ...parts,
      claim,
      jobs,
      cancellations,
      sessions,
    }));
    const hasSeenAllRuns = () => recovery.hasCompleteView();
    const vacating = (this.#vacating = new Vacating({ ...parts, runs, sessions, hasSeenAllRuns }));
    sessions.onAdded = (worker) => {
      vacating.handleAdded(worker);
    };
    this.#inbox = new Inbox({
      ...parts,
      jobs,
      cancellations,
      countJob: (spec) => {
        this.#accounts.counting.count(spec);
      },
    });

    const placeTasks = () => {
      this.#placeTasks();
    };
    this.#roundTimer = new RoundTimer({ ...parts, placeTasks });
    const advice = (this.#advice = new AdviceCache(parts));
    const runMsOf = ({ spec, job }: Step) => predictMs(spec, job.spec.queue);
    this.#placeWaits = new PlaceWaits({ ...parts, runMsOf });
    this.#stragglerHelp = new StragglerHelp({
      ...parts,
      runTimes,
      runs,
      isPlaceable: (step) => this.#isPlaceable(step),
      ticketOf: (step, worker) => advice.ticketOf(step, worker),
    });
    this.#stateLog = new ServiceStateLog({
      ...parts,
      jobs: () => jobs.open(),
      workers: () => sessions.all(),
      heldJobCount: () => recovery.heldJobCount,
      unreachedCount: () => recovery.unreachedCount,
      takeRounds: () => this.#roundTimer.takeRounds(),
      busyShare: deps.createBusyMeter?.(),
    });
    jobs.onSucceeded = (job) => {
      this.#recordTimeliness(job);
    };
  }

  #recordTimeliness(job: Job): void {
    const { clock, counters } = this.#deps;
    if (job.hasSchedule) return;
    const queue = this.#queuesByName().get(job.spec.queue);
    const { objectiveMs, valueMs } = jobTimesOf(job.spec, queue, this.#learning.predictMs);
    const tookMs = clock.now() - job.acceptedAt;
    const late = tookMs <= valueMs ? Timeliness.Late : Timeliness.Overdue;
    const timeliness = tookMs <= objectiveMs ? Timeliness.InTime : late;
    counters.count('jobs_succeeded', timeliness);
    this.#stateLog.countSucceeded(timeliness);
  }

  #createAccounts(parts: PartDeps): ServiceAccounts {
    const { predictMs } = this.#learning;
    return new ServiceAccounts({
      ...parts,
      jobs: this.#jobs,
      hasCompleteView: () => this.#recovery.hasCompleteView() && !this.#sessions.hasOrphans(),
      applyConfig: () => void this.#queuesByName(),
      queueOf: (name) => this.#queuesByName().get(name),
      timesOf: (spec, queue) => jobTimesOf(spec, queue, predictMs),
      queuedWork: (waiting, pool) => queuedWork(waiting, pool, predictMs),
      taskWorkMs: (step, pool) => taskWorkMs(step, pool, predictMs),
      canHoldTask,
    });
  }

  #createJudgement(parts: PartDeps): Judgement {
    return new Judgement({
      ...parts,
      ...createOpinionRows(parts.service, parts.store, this.#journal),
      isEnabled: this.#features.judgesWorkers,
      jobs: () => this.#jobs.open(),
      pool: () => [...this.#sessions.all()].filter(isPoolMember),
      judgedWorker: (worker) => this.#runs.judgedWorker(worker),
    });
  }

  #createRunControl(parts: PartDeps): RunControl {
    const { judgesWorkers, learnsRunTimes } = this.#features;
    const { runTimes, predictMs } = this.#learning;
    return new RunControl({
      ...parts,
      runTimes,
      jobs: this.#jobs,
      budget: this.#accounts.budget,
      health: judgesWorkers ? this.#judgement.health : undefined,
      expectedMs: ({ step }) => predictMs(step.spec, step.job.spec.queue),
      maxAttempts: (queue) => this.#queuesByName().get(queue)?.maxAttempts,
      discardTicket: (step, workerId, ticket) => {
        this.#advice.discard(step, workerId, ticket);
      },
      onTaskDone: (task) => {
        this.#accounts.handleTaskDone(task);
      },
      mayHaveUnknownRuns: (job) => learnsRunTimes && !this.#recovery.mayStartTasks(job),
    });
  }

  /** Loads the open jobs, then manages the service until the lifecycle is closed. */
  async run(lifecycle: Lifecycle): Promise<void> {
    const { signal } = lifecycle;
    lifecycle.own('service holder', () => {
      this.#isClosed = true;
    });
    lifecycle.own('account gauges', this.#addAccountGauges());
    const journal = this.#journal.run(signal);
    void this.#learning.load(signal);
    if (!(await this.#recovery.load(signal))) return;
    this.#accounts.counting.restore(this.#jobs.open());
    await Promise.all([
      journal,
      this.#sessions.run(signal),
      this.#judgement.load(signal),
      this.#inbox.run(signal),
      this.#recordQueues(signal),
      this.#accounts.budget.run(signal),
      this.#tick(signal),
    ]);
  }

  /** Records the assignments of the service's queues, so that their first jobs need not wait for it. */
  async #recordQueues(signal: AbortSignal): Promise<void> {
    const own = (this.#deps.config()?.queues ?? []).filter(
      ({ service }) => service === this.service,
    );
    for (const queue of own.slice(0, MAX_PREPARED_QUEUES)) {
      if (signal.aborted) return;
      await this.#deps.ids.prepare(queue, this.service);
    }
  }

  /**
   * Adds the gauges of client accounts to the metrics page. They are shown only while placement rounds
   * update them: a node that may not extend leases may have a successor, which has its own.
   */
  #addAccountGauges(): () => void {
    const { counters, canExtend } = this.#deps;
    return counters.addGauges(() => (canExtend() ? this.#accounts.budget.gauges() : []));
  }

  async #tick(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    do {
      const wallTime = clock.wallTime();
      for (const job of this.#jobs.open()) if (job.hasSchedule) job.createDueOccurrences(wallTime);
      this.#pacing.update();
      this.#vacating.proceed();
      this.#judgement.update();
      this.#requestPlacement();
      this.#learning.update();
      this.#stateLog.update(TICK_INTERVAL_MS, this.#unplacedCount);
      this.#accounts.countShares(TICK_INTERVAL_MS);
    } while (await clock.sleep(TICK_INTERVAL_MS, signal));
  }

  get isLoaded(): boolean {
    return this.#recovery.isLoaded;
  }

  /**
   * Submits a job. Resolves once the job is durable. If a node of an earlier version does not tell the
   * path of its queue, only this service is asked for the id.
   */
  async submit(spec: JobSpec): Promise<SubmitOutcome> {
    if (!this.isLoaded || this.#isClosed) return refusal(RefusalReason.NotHolder, FULL_RETRY_MS);
    const isKnown = await this.#jobs.awaitAcceptance(spec.id);
    const { checks, counting } = this.#accounts;
    if (isKnown) return checks.answerKnown(spec);
    const { ids } = this.#deps;
    const { path } = spec;
    const claim = path ? await ids.claim(path, this.service, spec) : unsharedClaim;
    if (claim.state === IdState.Taken) return { isAccepted: true };
    if (claim.state !== IdState.Free)
      return refusal(claimRefusals[claim.state], UNSTORABLE_RETRY_MS);
    // Another submission with this id was accepted, or started to be written, during the wait.
    if (this.#jobs.isPending(spec.id) || this.#jobs.find(spec.id)) return this.submit(spec);
    const refused = checks.refuse(spec);
    if (refused) return refused;
    counting.count(spec);
    const outcome = await this.#jobs.trackAcceptance(
      spec.id,
      this.#accept(spec, claim.closedVersion),
    );
    if (outcome !== AcceptanceOutcome.Accepted) counting.uncount(spec);
    switch (outcome) {
      case AcceptanceOutcome.Accepted:
        return { isAccepted: true };
      case AcceptanceOutcome.AlreadyAccepted:
        return checks.answerKnown(spec);
      case AcceptanceOutcome.IdClosed:
        ids.handleClosed();
        return refusal(RefusalReason.IdClosed, 0);
      case AcceptanceOutcome.Unstorable:
        return checks.refuseUnstorable();
      case AcceptanceOutcome.HolderLost:
        return refusal(RefusalReason.Unresolved, 0);
    }
  }

  /** Writes a job, and opens it before anyone who waits for the outcome learns of it. */
  async #accept(spec: JobSpec, closedVersion: number): Promise<AcceptanceOutcome> {
    const outcome = await this.#writeJob(spec, closedVersion);
    if (outcome === AcceptanceOutcome.Accepted) this.#openJob(spec);
    return outcome;
  }

  /** Explains what would be done with a job now; nothing is kept, counted or sent. */
  explain(spec: JobSpec): HolderExplanation {
    const { clock, config, canStart, canExtend } = this.#deps;
    const queues = this.#queuesByName();
    const { checks, counting } = this.#accounts;
    return explainJob({
      spec: counting.preview(spec),
      service: this.service,
      now: clock.now(),
      wallTimeMs: clock.wallTime(),
      configVersion: config()?.version,
      refusal: checks.preview(spec),
      jobs: [...this.#jobs.open()],
      isHeld: (job) => this.#recovery.isHeld(job),
      workers: [...this.#sessions.all()],
      standingOf: (id) => this.#judgement.health.standing(id),
      queues,
      rules: this.#orderRules(),
      hasTickets: (step) => this.#advice.hasTickets(step, queues),
      accounts: this.#accounts.preview(),
      previewPlaces: (candidates, state) => this.#placeWaits.preview(candidates, state),
      mayRestart: canStart(),
      mayStart: canExtend(),
      maxStarts: this.#runs.freeStarts,
      inboxAgeMs: this.#inbox.ageMs(),
      roundAgeMs: this.#roundTimer.ageMs(),
    });
  }

  #writeJob(spec: JobSpec, closedVersion: number): Promise<AcceptanceOutcome> {
    const account = this.#accounts.itemAccount(spec);
    return new Promise((settle) => {
      const entry = this.#jobs.acceptanceEntry(spec, closedVersion, settle);
      this.#journal.append({ ...entry, account });
    });
  }

  #openJob(spec: JobSpec): void {
    const { clock, log, config } = this.#deps;
    const job = new Job(spec, clock.now(), 1);
    job.createDueOccurrences(clock.wallTime());
    this.#demand.add(spec);
    this.#stateLog.countAccepted();
    this.#jobs.add(job);
    log.info('job_accepted', {
      job: spec.id,
      queue: spec.queue,
      service: this.service,
      account: spec.account,
      steps: spec.steps.length,
      tasks: spec.steps.reduce((sum, { count }) => sum + count, 0),
      lasting: job.isLasting,
      path_ms: Math.round(criticalPathMs(spec, this.#learning.predictMs)),
      config: config()?.version,
    });
    this.#requestPlacement();
  }

  /** State and account of an open or recently ended job; undefined if the holder knows no such job. */
  find(id: string): EndedJobRow | undefined {
    return this.#jobs.find(id);
  }

  /**
   * Cancels a job; waits for the outcome of its acceptance if that is being written. Resolves once the
   * cancellation is durable.
   *
   * @param account - account of the caller; undefined if its queue needs no key
   * @returns whether it became durable; undefined when the account has no such open job
   */
  async cancel(id: string, account: string | undefined): Promise<boolean | undefined> {
    await this.#jobs.awaitAcceptance(id);
    const job = this.#jobs.get(id);
    if (!job || (this.#deps.usesAccounts() && !mayAccessJob(job.spec.account, account)))
      return undefined;
    return this.#cancelJob(job);
  }

  async #cancelJob(job: Job): Promise<boolean> {
    const isDurable = await this.#jobs.close(job, JobState.Cancelled);
    if (isDurable) this.#runs.stopAll(job, 'cancelled');
    return isDurable;
  }

  /**
   * Number of open jobs of a queue that have not started any task. Unknown while this process may
   * have a successor, or has not seen the jobs that gateways wrote to the store recently.
   */
  pending(queue: string, path?: QueuePath): PendingCount {
    const ageMs = this.#inbox.ageMs();
    if (ageMs > MAX_PENDING_AGE_MS || !this.#deps.canStart()) return { ageMs };
    return { ageMs, count: this.#jobs.countQueued(queue, path) };
  }

  /**
   * Empties a VM for planned work. Must be repeated until the work has begun, as requests expire and the
   * worker of the VM may change.
   */
  vacate(vm: VmListing, how: VacateOptions): VacateStatus {
    return this.#vacating.request(vm, how);
  }

  /** Makes the worker of a VM available for new tasks again. */
  readmit(vm: string): void {
    this.#vacating.cancel(vm);
  }

  /** Handles the notice that planned work has ended all runs on the worker of a VM. */
  handleRunsEnded(vm: string, workerId: string | undefined): void {
    this.#vacating.ended(vm, workerId);
  }

  /** Handles the notice that no VM runs a worker any more. */
  handleWorkerGone(workerId: string, bornMs: number): void {
    this.#sessions.handleGone(workerId, bornMs);
  }

  /** Load of the service, as input for the VM move policy. */
  load(): ServiceLoad {
    const { predictMs } = this.#learning;
    return this.#sessions.load([...this.#jobs.open()], this.#demand.cpu(), predictMs);
  }

  /** Terms of the queues by name, as of the active configuration; see {@link QueueRules}. */
  #queuesByName(): ReadonlyMap<string, QueueTerms> {
    const config = this.#deps.config();
    if (config !== this.#indexedConfig) {
      this.#indexedConfig = config;
      this.#accounts.configure(config?.accounts);
    }
    return this.#queueRules.byName();
  }

  #orderRules(): Required<OrderRules> {
    return { hasAccounts: this.#accounts.isActive, predictMs: this.#learning.predictMs };
  }

  /** Whether a step may be placed now, also by the terms of its queue. */
  #isPlaceable(step: Step, queues = this.#queuesByName()): boolean {
    // Without its terms, it is unknown whether a task that has failed may run again.
    if (
      !queues.has(step.job.spec.queue) &&
      step.tasks.some(({ failedRuns }) => failedRuns.size > 0)
    )
      return false;
    return this.#advice.isPlaceable(step, queues, this.#sessions);
  }

  /** Requests a placement round. */
  #requestPlacement(): void {
    if (!this.#isClosed) this.#roundTimer.request();
  }

  #placeTasks(): void {
    const { clock, canStart, canExtend } = this.#deps;
    if (this.#isClosed || !this.isLoaded || !canExtend()) return;
    const mayRestart = canStart();
    const now = clock.now();
    const queues = this.#queuesByName();
    const jobs = [...this.#jobs.open()].filter((job) => this.#recovery.mayStartTasks(job));
    const queueOf = (name: string) => queues.get(name);
    const rules = this.#orderRules();
    const waiting = orderWaiting(jobs, queueOf, now, clock.wallTime(), rules).filter(({ step }) =>
      this.#isPlaceable(step, queues),
    );
    const steps = waiting.map(({ step }) => step);
    const workers = [...this.#sessions.all()];
    this.#judgement.applyTo(workers);
    const usage = this.#accounts.measureUsage(workers);
    const allowedStarts = this.#accounts.limitStarts(workers, now);
    const candidates = waiting.map((each) => ({ step: each.step, slackMs: slackMsOf(each) }));
    const places = this.#placeWaits.plan(candidates, jobs, { workers, mayUse: mayUseWorker });
    const round = { steps, workers, now, mayRestart, allowedStarts, places };
    this.#accounts.budget.beginRound();
    const start = ({ task, worker }: Assignment) => {
      this.#accounts.addStart(task);
      this.#placeWaits.handleStart(task, worker, places);
      this.#runs.start(task, worker, this.#advice.ticketOf(task.step, worker));
    };
    const maxStarts = () => this.#runs.freeStarts;
    const waitingSuspects = placeSuspects({ ...round, maxStarts: maxStarts() }, start);
    const fairRound = usage ? { ...round, steps: byAccount(waiting, usage), turnSize } : round;
    const unplacedCount =
      waitingSuspects + placeSteps({ ...fairRound, maxStarts: maxStarts() }, start);
    this.#unplacedCount = unplacedCount;
    // Another holder may have started a copy already.
    if (mayRestart && this.#features.learnsRunTimes) {
      const isRoomIdle = !waiting.some(isWaitingInTime);
      this.#stragglerHelp.update({ jobs, workers, isRoomIdle, allowedStarts });
    }
    this.#accounts.endRound(workers, { now, waiting, unplacedCount });
  }
}
