import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { AdviceCache } from './adviceCache.js';
import { ArrivalRateEstimator } from './arrivals.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Inbox } from './inbox.js';
import { criticalPathMs, Job } from './job.js';
import { JobTable } from './jobTable.js';
import { EntryOutcome, Journal } from './journal.js';
import { orderWaiting } from './ordering.js';
import { placeSteps } from './placement.js';
import type { MonitoredStore } from './monitoredStore.js';
import type { AdviceClient, WorkerClient } from './ports.js';
import { Recovery } from './recovery.js';
import { RunControl } from './runControl.js';
import { jobKey, endedKey, inboxKey } from './rows.js';
import { encodeJob } from './jobCodec.js';
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
import type { Claim } from './ownership.js';
import { WorkerSessions } from './workerSessions.js';

/** Jobs that one holder keeps open, at most; bounds its memory. */
const MAX_OPEN_JOBS = 4_000;
/** Wait before a caller that was refused for want of room is to come back. */
const FULL_RETRY_MS = 2_000;
/** Wait before a caller that was refused while the store is away is to come back. */
const STORE_RETRY_MS = 1_000;
/** Interval of opening due occurrences and of placing what waited for a delay. */
const TICK_MS = 100;
/** Wait for other causes before a placement round, so that one round serves them all. */
const PLACEMENT_DELAY_MS = 1;

/** What became of a job that was handed in. */
export type SubmitOutcome =
  | { isAccepted: true }
  | {
      isAccepted: false;
      reason: RefusalReason;
      retryAfterMs: number;
    };

/** Needs of a {@link Holder}. */
export interface HolderDeps {
  store: MonitoredStore;
  workers: WorkerClient;
  advice: AdviceClient;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
  /** Workers of all services as registered. */
  registered: () => Iterable<WorkerRecord>;
  /** Whether the hold on the service is certain, so that lost runs may be started again. */
  canStart: () => boolean;
  /** Whether leases may be extended and tasks started that ran nowhere before. */
  canExtend: () => boolean;
  onLost: (service: string, reason: string) => void;
}

/** Holds one service: its open jobs, the runs on its workers, and its writes. */
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
  #indexedConfig: BatchConfig | undefined;
  #queues: ReadonlyMap<string, Queue> = new Map();
  #isPlacementDue = false;
  #isClosed = false;

  constructor(claim: Claim, deps: HolderDeps) {
    const { service, epoch } = claim;
    const { store, clock, log, counters } = deps;
    this.service = service;
    this.#deps = deps;
    const lose = (reason: string) => {
      deps.onLost(service, reason);
    };
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
      lose,
    });
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
      hasSeenAllRuns: () => this.#recovery.seesAll(),
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
      cancel: (id) => void this.cancel(id),
    });
  }

  /** Loads the open jobs, then serves until the life cycle is closed or the service is lost. */
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
      const wall = clock.wallTime();
      for (const job of this.#jobs.open()) if (job.isTimed) job.openDue(wall);
      this.#vacating.proceed();
      this.#requestPlacement();
    } while (await clock.sleep(TICK_MS, signal));
  }

  /** Whether the open jobs are loaded. */
  get isLoaded(): boolean {
    return this.#recovery.isLoaded;
  }

  /** Hands a job in. The answer comes once it is durable. */
  async submit(spec: JobSpec): Promise<SubmitOutcome> {
    if (!this.isLoaded || this.#isClosed) {
      return { isAccepted: false, reason: RefusalReason.NotHolder, retryAfterMs: FULL_RETRY_MS };
    }
    const known = await this.#jobs.awaitAcceptance(spec.id);
    if (known) return { isAccepted: true };
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
    const outcome = await this.#jobs.accept(spec.id, this.#record(spec));
    if (outcome === EntryOutcome.HolderLost) {
      return { isAccepted: false, reason: RefusalReason.Unresolved, retryAfterMs: 0 };
    }
    // On a conflict the job had been accepted before, through another process.
    if (outcome === EntryOutcome.Applied) this.#admit(spec);
    return { isAccepted: true };
  }

  #record(spec: JobSpec): Promise<EntryOutcome> {
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

  #admit(spec: JobSpec): void {
    const { clock, log, config } = this.#deps;
    const job = new Job(spec, clock.now(), 1);
    job.openDue(clock.wallTime());
    this.#arrivals.add(spec.steps, clock.now());
    this.#jobs.add(job);
    log.info('job_accepted', {
      job: spec.id,
      queue: spec.queue,
      service: this.service,
      steps: spec.steps.length,
      tasks: spec.steps.reduce((sum, { count }) => sum + count, 0),
      lasting: job.isLasting,
      path_ms: criticalPathMs(spec.steps),
      config: config()?.version,
    });
    this.#requestPlacement();
  }

  /** State of a job as far as the holder knows; undefined when it is not open here. */
  state(id: string): JobState | undefined {
    return this.#jobs.stateOf(id);
  }

  /** Cancels a job; the answer comes once that is durable. Undefined: there is no such open job. */
  async cancel(id: string): Promise<boolean | undefined> {
    const job = this.#jobs.get(id);
    if (!job) return undefined;
    const isDurable = await this.#jobs.close(job, JobState.Cancelled);
    if (isDurable) this.#runs.stopAll(job, 'cancelled');
    return isDurable;
  }

  /** Accepted jobs of a queue of which no task has started. */
  pending(queue: string): number {
    let count = 0;
    for (const job of this.#jobs.open()) {
      if (job.spec.queue === queue && job.state === JobState.Queued) count++;
    }
    return count;
  }

  /** Empties a worker for planned work; call it until the worker is ready for it. */
  vacate(workerId: string, isUrgent: boolean): VacateStatus {
    return this.#vacating.request(workerId, isUrgent);
  }

  /** Lets a worker get tasks again. */
  readmit(workerId: string): void {
    this.#vacating.cancel(workerId);
  }

  /** Tells that planned work has ended everything on a worker. */
  ended(workerId: string): void {
    this.#vacating.ended(workerId);
  }

  /** Load figures of the service for the move policy. */
  load(): ServiceLoad {
    const expectedCpu = this.#arrivals.expectedCpu(this.#deps.clock.now());
    return this.#sessions.load([...this.#jobs.open()], expectedCpu);
  }

  /** Queues of the configuration in force; indexed once for each configuration. */
  #queuesByName(): ReadonlyMap<string, Queue> {
    const config = this.#deps.config();
    if (config !== this.#indexedConfig) {
      this.#indexedConfig = config;
      this.#queues = new Map(config?.queues.map((queue) => [queue.name, queue]));
    }
    return this.#queues;
  }

  /** Places waiting tasks soon, once for all causes that come meanwhile. */
  #requestPlacement(): void {
    if (this.#isPlacementDue || this.#isClosed) return;
    this.#isPlacementDue = true;
    this.#deps.clock.setTimer(PLACEMENT_DELAY_MS, () => {
      this.#isPlacementDue = false;
      this.#place();
    });
  }

  #place(): void {
    const { clock, canStart, canExtend } = this.#deps;
    if (this.#isClosed || !this.isLoaded || !canExtend()) return;
    const mayRestart = canStart();
    const now = clock.now();
    const queues = this.#queuesByName();
    const jobs = [...this.#jobs.open()].filter((job) => this.#recovery.mayStart(job));
    const waiting = orderWaiting(jobs, (name) => queues.get(name), now, clock.wallTime());
    const steps = waiting
      .map(({ step }) => step)
      .filter((step) => this.#advice.isPlaceable(step, queues, this.#sessions));
    const workers = [...this.#sessions.all()];
    placeSteps({ steps, workers, now, mayRestart }, ({ task, worker }) => {
      this.#runs.start(task, worker, this.#advice.ticketOf(task.step, worker));
    });
  }
}
