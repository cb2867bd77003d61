import { compareOwner, JobOwner, mayAccessJob } from '../accounts/index.js';
import type { Clock } from '../clock/index.js';
import { messageOf, toError } from '../errors/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { PlaceWaits } from '../places/index.js';
import { AdviceCache } from './adviceCache.js';
import { ArrivalRateEstimator } from './arrivals.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Inbox } from './inbox.js';
import { placeSuspects } from './isolation.js';
import { criticalPathMs, Job } from './job.js';
import { JobTable } from './jobTable.js';
import { EntryOutcome, Journal } from './journal.js';
import { orderWaiting, slackMsOf } from './ordering.js';
import { mayUseWorker, placeSteps, type Assignment } from './placement.js';
import type { MonitoredStore } from './monitoredStore.js';
import type { AdviceClient, WorkerClient } from './ports.js';
import { Recovery } from './recovery.js';
import { delayBeforeRoundMs } from './roundDelay.js';
import { RunControl } from './runControl.js';
import { jobKey, endedKey, inboxKey } from './rows.js';
import { decodeStoredAccount, encodeJob, type EndedJobRow } from './jobCodec.js';
import {
  JobState,
  RefusalReason,
  type BatchConfig,
  type JobSpec,
  type Queue,
  type WorkerRecord,
} from './types.js';
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

/** Result of submitting a job. */
export type SubmitOutcome =
  | { isAccepted: true }
  | {
      isAccepted: false;
      reason: RefusalReason;
      retryAfterMs: number;
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
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
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
  readonly #arrivals = new ArrivalRateEstimator();
  readonly #advice: AdviceCache;
  readonly #inbox: Inbox;
  readonly #stateLog: ServiceStateLog;
  readonly #placeWaits: PlaceWaits;
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
    const lose = deps.onLost;
    const place = () => {
      this.#requestPlacement();
    };
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
    this.#runs = new RunControl({
      ...deps,
      epoch,
      jobs: this.#jobs,
      maxAttempts: (queue) => this.#queuesByName().get(queue)?.maxAttempts ?? 1,
      place,
      discardTicket: (step, workerId, ticket) => {
        this.#advice.discard(step, workerId, ticket);
      },
      lose,
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
    });
    this.#placeWaits = new PlaceWaits({
      ...deps,
      service,
      runMsOf: ({ spec }) => spec.estimateMs,
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
    if (!(await this.#recovery.load(signal))) return;
    await Promise.all([
      journal,
      this.#sessions.run(signal),
      this.#inbox.run(signal),
      this.#tick(signal),
    ]);
  }

  async #tick(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    do {
      const wallTime = clock.wallTime();
      for (const job of this.#jobs.open()) if (job.hasSchedule) job.createDueOccurrences(wallTime);
      this.#vacating.proceed();
      this.#requestPlacement();
      this.#stateLog.update(TICK_INTERVAL_MS, this.#unplacedCount);
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
    const outcome = await this.#jobs.trackAcceptance(spec.id, this.#writeJob(spec));
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
        settle,
      });
    });
  }

  #openJob(spec: JobSpec): void {
    const { clock, log, config } = this.#deps;
    const job = new Job(spec, clock.now(), 1);
    job.createDueOccurrences(clock.wallTime());
    this.#arrivals.add(spec.steps, clock.now());
    this.#jobs.add(job);
    log.info('job_accepted', {
      job: spec.id,
      queue: spec.queue,
      service: this.service,
      account: spec.account,
      steps: spec.steps.length,
      tasks: spec.steps.reduce((sum, { count }) => sum + count, 0),
      lasting: job.isLasting,
      path_ms: criticalPathMs(spec.steps),
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
    const expectedCpu = this.#arrivals.expectedCpu(this.#deps.clock.now());
    return this.#sessions.load([...this.#jobs.open()], expectedCpu);
  }

  /** Queues of the active configuration by name; rebuilt when the configuration changes. */
  #queuesByName(): ReadonlyMap<string, Queue> {
    const config = this.#deps.config();
    if (config !== this.#indexedConfig) {
      this.#indexedConfig = config;
      this.#queues = new Map(config?.queues.map((queue) => [queue.name, queue]));
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
    const waiting = orderWaiting(jobs, (name) => queues.get(name), now, clock.wallTime());
    const placeable = waiting.filter(({ step }) =>
      this.#advice.isPlaceable(step, queues, this.#sessions),
    );
    const steps = placeable.map(({ step }) => step);
    const workers = [...this.#sessions.all()];
    const candidates = placeable.map((each) => ({ step: each.step, slackMs: slackMsOf(each) }));
    const places = this.#placeWaits.plan(candidates, jobs, { workers, mayUse: mayUseWorker });
    const round = { steps, workers, now, mayRestart, places };
    const start = ({ task, worker }: Assignment) => {
      this.#placeWaits.handleStart(task, worker, places);
      this.#runs.start(task, worker, this.#advice.ticketOf(task.step, worker));
    };
    const maxStarts = () => this.#runs.freeStarts;
    const waitingSuspects = placeSuspects({ ...round, maxStarts: maxStarts() }, start);
    this.#unplacedCount = waitingSuspects + placeSteps({ ...round, maxStarts: maxStarts() }, start);
  }
}
