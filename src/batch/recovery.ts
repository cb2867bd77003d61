import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { Job } from './job.js';
import { decodeJob } from './jobCodec.js';
import type { JobTable } from './jobTable.js';
import { LAST_ORDER_MS, type Claim } from './ownership.js';
import type { Row, RowStore } from './ports.js';
import { LEASE_MS } from './runControl.js';
import { JobState, type WorkerRecord } from './types.js';
import type { Worker } from './worker.js';
import type { WorkerSessions } from './workerSessions.js';

/** Longest time from the last order of a holder until its lease has ended on any worker's clock. */
const LAST_LEASE_MS = LEASE_MS * 1.03 + 300;
/** Runs of one task that one holder starts, at most; separates the numbers of successive holders. */
const RUNS_PER_EPOCH = 1_000;
const RETRY_MS = 200;
/** Time after loading until the registered workers are known as well. */
const SYNC_MS = 1_000;

/** Needs of {@link Recovery}. */
export interface RecoveryDeps {
  claim: Claim;
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  jobs: JobTable;
  sessions: WorkerSessions;
  place: () => void;
}

/** Loads what an earlier holder left, and says which of its jobs may start tasks yet. */
export class Recovery {
  readonly #deps: RecoveryDeps;
  /** Ids of jobs of which an earlier holder may have started tasks. */
  readonly #inherited = new Set<string>();
  /** Workers on which such tasks may run. */
  #unreached: Worker[] = [];
  #waitUntil = 0;
  isLoaded = false;
  #loadedAt = Infinity;

  constructor(deps: RecoveryDeps) {
    this.#deps = deps;
  }

  /**
   * Reads the rows of the service, retrying until the store answers.
   *
   * @returns whether they are loaded; false when the signal was aborted first
   */
  async load(signal: AbortSignal): Promise<boolean> {
    const { claim, clock, log, counters } = this.#deps;
    const startedAt = clock.now();
    const lastOrderMs = claim.mayOverlap ? LAST_ORDER_MS : 0;
    this.#waitUntil = startedAt + lastOrderMs + LAST_LEASE_MS;
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
      jobs: this.#inherited.size,
      workers: this.#unreached.length,
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
    for (const { value } of rows) {
      try {
        sessions.addFromRoster(JSON.parse(value) as WorkerRecord[]);
      } catch (err) {
        log.warn('roster_unreadable', { error: String(err) });
      }
    }
    this.#unreached = [...sessions.all()];
  }

  #loadJob(row: Row, progressById: ReadonlyMap<string, string>): void {
    const { claim, clock, jobs, log } = this.#deps;
    if (row.key.endsWith('!')) return;
    const spec = decodeJob(row.value);
    if (spec.isErr) {
      log.warn('job_row_unreadable', { job: row.key, reason: spec.error.code });
      return;
    }
    const wall = clock.wallTime();
    const age = Math.max(0, wall - spec.value.acceptedMs);
    const firstRun = (claim.epoch - 1) * RUNS_PER_EPOCH + 1;
    const job = new Job(spec.value, clock.now() - age, firstRun);
    if (row.table === 'inbox') job.inboxKeys.add(row.key);
    const progress = progressById.get(row.key);
    if (progress !== undefined) {
      job.hasProgressRow = true;
      job.state = JobState.Running;
      const applied = job.applyProgress(progress);
      if (applied.isErr) log.warn('progress_row_unreadable', { job: row.key });
    }
    job.openDue(wall);
    jobs.add(job);
    this.#inherited.add(row.key);
    if (job.isComplete) void jobs.close(job, JobState.Succeeded);
  }

  /** Whether each worker has been reached, or nothing can run there any more. */
  seesAll(): boolean {
    const isSynced = this.#deps.clock.now() - this.#loadedAt > SYNC_MS;
    return isSynced && this.#hasWaitedForWorkers();
  }

  /** Whether each worker known at loading was reached or is gone, or every lease there has ended. */
  #hasWaitedForWorkers(): boolean {
    this.#unreached = this.#unreached.filter((worker) => !worker.isAdmitted && !worker.isGone);
    return this.#unreached.length === 0 || this.#deps.clock.now() >= this.#waitUntil;
  }

  /** Whether no task of a job can still run out of this holder's sight. */
  mayStart(job: Job): boolean {
    if (this.#inherited.size === 0 || !this.#inherited.has(job.spec.id)) return true;
    if (!this.#hasWaitedForWorkers()) return false;
    const { log, claim } = this.#deps;
    log.info('inherited_jobs_released', {
      service: claim.service,
      jobs: this.#inherited.size,
      unreached: this.#unreached.length,
    });
    this.#inherited.clear();
    return true;
  }
}
