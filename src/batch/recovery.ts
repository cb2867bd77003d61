import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Job } from './job.js';
import { decodeJob } from './jobCodec.js';
import type { JobTable } from './jobTable.js';
import type { Claim } from './ownership.js';
import type { Row, RowStore } from './ports.js';
import { parseCancellation } from './rows.js';
import { LEASE_MS } from './runControl.js';
import { JobState, type WorkerRecord } from './types.js';
import { createRun, RunPhase, type Worker } from './worker.js';
import type { WorkerSessions } from './workerSessions.js';

/** Longest time from a holder's last order until the lease has expired on any worker's clock. */
const MAX_LEASE_REMAINDER_MS = LEASE_MS * 1.03 + 300;
/** Maximum runs per task and epoch; keeps the run numbers of successive holders apart. */
const RUNS_PER_EPOCH = 1_000;
const RETRY_MS = 200;
/** Time after loading within which the registered workers become known, too. */
const WORKER_SYNC_MS = 1_000;

/** Dependencies of {@link Recovery}. */
export interface RecoveryDeps {
  claim: Claim;
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  jobs: JobTable;
  sessions: WorkerSessions;
  /** Whether no other process can have claimed the service. */
  canStart: () => boolean;
  /** Requests a placement round. */
  place: () => void;
}

/** Loads the state that earlier holders stored, and decides when its jobs may start tasks. */
export class Recovery {
  readonly #deps: RecoveryDeps;
  /** Ids of jobs whose tasks an earlier holder may have started. */
  readonly #inheritedJobIds = new Set<string>();
  /** Workers that may still run such tasks and have not been reached yet. */
  #unreachedWorkers: Worker[] = [];
  #leasesEndAt = 0;
  isLoaded = false;
  #loadedAt = Infinity;

  constructor(deps: RecoveryDeps) {
    this.#deps = deps;
  }

  /**
   * Reads the rows of the service, retrying until the store answers.
   *
   * @returns whether the rows were loaded; false when the signal was aborted first
   */
  async load(signal: AbortSignal): Promise<boolean> {
    const { claim, clock, log, counters } = this.#deps;
    const startedAt = clock.now();
    this.#leasesEndAt = startedAt + claim.staleOrderWindowMs + MAX_LEASE_REMAINDER_MS;
    const inbox = await this.#read('inbox', signal);
    const roster = await this.#read('roster', signal);
    const jobs = await this.#read('job', signal);
    const progress = await this.#read('progress', signal);
    if (!inbox || !roster || !jobs || !progress) return false;
    this.#loadRoster(roster);
    const progressById = new Map(progress.map((row) => [row.key, row.value]));
    for (const row of [...jobs, ...inbox]) this.#loadJob(row, progressById);
    this.isLoaded = true;
    this.#loadedAt = clock.now();
    counters.observe('recovery_ms', clock.now() - startedAt);
    log.info('service_loaded', {
      service: claim.service,
      epoch: claim.epoch,
      jobs: this.#inheritedJobIds.size,
      workers: this.#unreachedWorkers.length,
      took_ms: Math.round(clock.now() - startedAt),
    });
    this.#deps.place();
    return true;
  }

  async #read(table: string, signal: AbortSignal): Promise<Row[] | undefined> {
    const { store, clock, claim, counters } = this.#deps;
    while (!signal.aborted) {
      const res = await store.readPart(table, claim.service);
      if (res.isOk) return res.value.rows;
      counters.count('store_retries', res.error.code);
      await clock.sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  #loadRoster(rows: readonly Row[]): void {
    const { sessions, log } = this.#deps;
    for (const { key, value } of rows) {
      try {
        sessions.addFromRoster(JSON.parse(value) as WorkerRecord);
      } catch (err) {
        log.warn('roster_unreadable', { worker: key, error: String(err) });
      }
    }
    this.#unreachedWorkers = [...sessions.all()];
  }

  #loadJob(row: Row, progressById: ReadonlyMap<string, string>): void {
    const { claim, clock, jobs, log } = this.#deps;
    if (parseCancellation(row.key)) return;
    const spec = decodeJob(row.value);
    if (spec.isErr) {
      log.warn('job_row_unreadable', { job: row.key, reason: spec.error.code });
      return;
    }
    const wallTime = clock.wallTime();
    const ageMs = Math.max(0, wallTime - spec.value.acceptedMs);
    const firstRunNumber = (claim.epoch - 1) * RUNS_PER_EPOCH + 1;
    const job = new Job(spec.value, clock.now() - ageMs, firstRunNumber);
    if (row.table === 'inbox') job.inboxKeys.add(row.key);
    const progress = progressById.get(row.key);
    if (progress !== undefined) {
      job.hasProgressRow = true;
      job.state = JobState.Running;
      const applied = job.applyProgress(progress);
      if (applied.isErr) log.warn('progress_row_unreadable', { job: row.key });
    }
    job.createDueOccurrences(wallTime);
    jobs.add(job);
    this.#inheritedJobIds.add(row.key);
    if (job.isComplete) void jobs.close(job, JobState.Succeeded);
    for (const suspectRun of job.inheritedSuspects) this.#watchSuspect(suspectRun);
  }

  /** Lets the crash of a worker count for a run that an earlier holder started there. */
  #watchSuspect({ task, run, worker: id, bornMs }: Job['inheritedSuspects'][number]): void {
    const worker = this.#deps.sessions.get(id);
    if (!worker) return;
    worker.record = { ...worker.record, bornMs: Math.max(bornMs, worker.record.bornMs) };
    const startedAt = worker.lastContactAt;
    const phase = RunPhase.Unconfirmed;
    worker.lapsedRuns.push(createRun({ task, worker, number: run, phase, startedAt }));
  }

  /**
   * Whether the runs on all workers are known: the registered workers have been loaded, and each
   * worker has been reached or can no longer run anything.
   */
  hasCompleteView(): boolean {
    const isSynced = this.#deps.clock.now() - this.#loadedAt > WORKER_SYNC_MS;
    return isSynced && this.#areWorkersResolved();
  }

  /**
   * Whether each worker in the stored roster has been reached or is gone, or every lease that an
   * earlier holder granted has expired. A successor may have extended these leases, so their end only
   * counts while there can be none.
   */
  #areWorkersResolved(): boolean {
    this.#unreachedWorkers = this.#unreachedWorkers.filter(
      (worker) => !worker.isAdmitted && !worker.isGone,
    );
    if (this.#unreachedWorkers.length === 0) return true;
    const { clock, canStart } = this.#deps;
    return clock.now() >= this.#leasesEndAt && canStart();
  }

  /** Number of jobs whose tasks may not start yet, see {@link mayStartTasks}. */
  get heldJobCount(): number {
    return this.#inheritedJobIds.size;
  }

  /** Whether no task of a job can still have a run that this holder does not know of. */
  mayStartTasks(job: Job): boolean {
    if (this.#inheritedJobIds.size === 0 || !this.#inheritedJobIds.has(job.spec.id)) return true;
    if (!this.#areWorkersResolved()) return false;
    const { log, claim } = this.#deps;
    log.info('inherited_jobs_released', {
      service: claim.service,
      jobs: this.#inheritedJobIds.size,
      unreached: this.#unreachedWorkers.length,
    });
    this.#inheritedJobIds.clear();
    return true;
  }
}
