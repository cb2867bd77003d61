import type { Clock } from '../clock/index.js';
import {
  amountRange,
  isFields,
  isFlag,
  isNumberIn,
  isText,
  isTextList,
  parseJson,
  timeRange,
} from '../validation/index.js';
import type { Cancellations } from './cancellations.js';
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
export const MAX_LEASE_REMAINDER_MS = LEASE_MS * 1.03 + 300;
/**
 * Workers whose last lease is older than the newest one by this are recorded at a release. Workers in
 * contact get a lease about every second and are left out, which keeps the owner row small.
 */
const SILENT_AFTER_MS = 1_500;
/** Maximum number of workers recorded at a release; further ones count as the others. */
const MAX_RECORDED_WORKERS = 200;
/** Number of workers with leases above which entries of expired leases are dropped. */
const MAX_GRANTED_WORKERS = 1_000;
/** Maximum runs per task and epoch; keeps the run numbers of successive holders apart. */
const RUNS_PER_EPOCH = 1_000;
const RETRY_MS = 200;
/** Time after loading within which the registered workers become known, too. */
const WORKER_SYNC_MS = 1_000;
/** Maximum number of worker ids in a log line. */
const MAX_LOGGED_WORKERS = 10;

/** How long leases may last after a release, as stored in the owner row; in milliseconds. */
export interface ReleasedLeases {
  /** On workers that are not listed. */
  othersMs: number;
  /** By worker id; shorter than on the others. */
  workers: Record<string, number>;
}

/**
 * Tracks for one claim until when leases may last on each worker: those that this process granted
 * under the claim, and those that earlier holders granted or may still grant. Kept with the claim,
 * because the holder of a claim may be created several times. Times are monotonic, in milliseconds.
 */
export class LeaseBounds {
  readonly #clock: Clock;
  readonly #othersEnd: number;
  readonly #inheritedEnds: ReadonlyMap<string, number>;
  readonly #grantedEnds = new Map<string, number>();
  readonly #rosterIds = new Set<string>();
  #isReleased = false;

  /** @param inherited - the leases of earlier holders, counted from now */
  constructor(clock: Clock, { othersMs, workers }: ReleasedLeases) {
    const now = clock.now();
    this.#clock = clock;
    this.#othersEnd = now + othersMs;
    this.#inheritedEnds = new Map(Object.entries(workers).map(([id, ms]) => [id, now + ms]));
  }

  /** Adds a worker of the stored roster. */
  addFromRoster(id: string): void {
    this.#rosterIds.add(id);
  }

  /**
   * Records a lease that is about to be granted and expires by `expiresBy`.
   *
   * @returns whether it may be granted; false after the release
   */
  grant(id: string, expiresBy: number): boolean {
    if (this.#isReleased) return false;
    const now = this.#clock.now();
    if (this.#grantedEnds.size > MAX_GRANTED_WORKERS) this.#dropExpired(now);
    const end = Math.max(expiresBy, now + MAX_LEASE_REMAINDER_MS);
    this.#grantedEnds.set(id, Math.max(end, this.#grantedEnds.get(id) ?? 0));
    return true;
  }

  #dropExpired(now: number): void {
    for (const [id, end] of this.#grantedEnds) if (end < now) this.#grantedEnds.delete(id);
  }

  /**
   * Time by which all leases on a worker have expired. The inherited bound also counts after this
   * process has reached the worker: a restarted worker accepts an earlier holder's orders again.
   */
  endOf(id: string): number {
    const inheritedEnd = this.#inheritedEnds.get(id) ?? this.#othersEnd;
    return Math.max(inheritedEnd, this.#grantedEnds.get(id) ?? 0);
  }

  /** Ends granting, and returns how long leases may last from now on. */
  release(): ReleasedLeases {
    this.#isReleased = true;
    const now = this.#clock.now();
    const remainingMs = (end: number) => Math.ceil(Math.max(0, end - now));
    const othersMs = remainingMs(Math.max(this.#othersEnd, ...this.#grantedEnds.values()));
    const ids = new Set([
      ...this.#rosterIds,
      ...this.#inheritedEnds.keys(),
      ...this.#grantedEnds.keys(),
    ]);
    const workers = [...ids]
      .map((id): [string, number] => [id, remainingMs(this.endOf(id))])
      .filter(([id, ms]) => ms + (this.#grantedEnds.has(id) ? SILENT_AFTER_MS : 0) < othersMs)
      .sort(([, a], [, b]) => a - b)
      .slice(0, MAX_RECORDED_WORKERS);
    return { othersMs, workers: Object.fromEntries(workers) };
  }
}

/**
 * Reads the leases that a release recorded. Rows of earlier versions have none, and a malformed
 * entry must neither shorten a wait nor extend it beyond `defaultMs`.
 */
export function readReleasedLeases(
  value: unknown,
  defaultMs: number,
  maxMs: number,
): ReleasedLeases {
  const { othersMs, workers } = (value ?? {}) as { othersMs?: unknown; workers?: unknown };
  const isDuration = (ms: unknown): ms is number =>
    typeof ms === 'number' && ms >= 0 && ms <= maxMs;
  if (!isDuration(othersMs)) return { othersMs: defaultMs, workers: {} };
  const isObject = typeof workers === 'object' && workers !== null;
  const entries = isObject ? Object.entries(workers) : [];
  return { othersMs, workers: Object.fromEntries(entries.filter(([, ms]) => isDuration(ms))) };
}

/** Decodes a row of the roster; returns undefined if it is malformed. */
export function decodeRosterRow(id: string, value: string): WorkerRecord | undefined {
  const fields = parseJson(value);
  if (!isFields(fields) || fields.id !== id) return undefined;
  const { service, address, zone, isDraining, capacity, labels, bornMs } = fields;
  const isValid =
    [service, address, zone].every(isText) &&
    isFlag(isDraining) &&
    isFields(capacity) &&
    amountKinds.every((kind) => isNumberIn(capacity[kind], amountRange)) &&
    isTextList(labels) &&
    isNumberIn(bornMs, timeRange);
  return isValid ? (fields as unknown as WorkerRecord) : undefined;
}

const amountKinds = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** Dependencies of {@link Recovery}. */
export interface RecoveryDeps {
  claim: Claim;
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  jobs: JobTable;
  cancellations: Cancellations;
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
  /** Ids of workers whose roster rows do not say how to reach them. */
  #unreadableIds: string[] = [];
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
    const { sessions, log, claim, counters } = this.#deps;
    for (const { key, value } of rows) {
      claim.leases.addFromRoster(key);
      const record = decodeRosterRow(key, value);
      if (record) sessions.addFromRoster(record);
      else {
        this.#unreadableIds.push(key);
        counters.count('bad_rows', 'roster');
        log.warn('roster_unreadable', { worker: key });
      }
    }
    this.#unreachedWorkers = [...sessions.all()];
  }

  #loadJob(row: Row, progressById: ReadonlyMap<string, string>): void {
    const { claim, clock, jobs, log, cancellations } = this.#deps;
    const cancellation = parseCancellation(row.key);
    if (cancellation) {
      cancellations.receive(row.key, cancellation);
      return;
    }
    const spec = decodeJob(row.value);
    if (spec.isErr) {
      this.#deps.counters.count('bad_rows', row.table);
      log.warn('job_row_unreadable', { job: row.key, reason: spec.error.message });
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
      const isReadable = job.applyProgress(progress).isOk;
      if (!isReadable || job.unreadableEntries > 0) {
        this.#deps.counters.count('bad_rows', 'progress');
        const entries = isReadable ? job.unreadableEntries : undefined;
        log.warn('progress_row_unreadable', { job: row.key, entries });
      }
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
   * earlier holder granted there has expired. A successor may have extended these leases, so their end
   * only counts while there can be none.
   */
  #areWorkersResolved(): boolean {
    const { clock, canStart, claim, sessions } = this.#deps;
    this.#unreachedWorkers = this.#unreachedWorkers.filter((worker) => !this.#isResolved(worker));
    // A worker that is registered, too, may have been reached by its registration.
    this.#unreadableIds = this.#unreadableIds.filter((id) => !sessions.get(id)?.isAdmitted);
    const ids = [...this.#unreachedWorkers.map(({ record }) => record.id), ...this.#unreadableIds];
    if (ids.length === 0) return true;
    const now = clock.now();
    return canStart() && ids.every((id) => now >= claim.leases.endOf(id));
  }

  #isResolved(worker: Worker): boolean {
    if (worker.isAdmitted) return true;
    if (!worker.isGone) return false;
    const { log, claim } = this.#deps;
    const { id } = worker.record;
    log.info('unreached_worker_gone', {
      service: claim.service,
      worker: id,
      waited_ms: this.#waitedMs(),
    });
    return true;
  }

  #waitedMs(): number {
    return Math.round(this.#deps.clock.now() - this.#loadedAt);
  }

  /** Number of workers in the stored roster that have not been reached and may still have runs. */
  get unreachedCount(): number {
    return this.#unreachedWorkers.length;
  }

  /** Number of jobs whose tasks may not start yet, see {@link mayStartTasks}. */
  get heldJobCount(): number {
    return this.#inheritedJobIds.size;
  }

  /** Whether the tasks of a job may not start, as of the last call of {@link mayStartTasks}. */
  isHeld(job: Job): boolean {
    return this.#inheritedJobIds.has(job.spec.id);
  }

  /** Whether no task of a job can still have a run that this holder does not know of. */
  mayStartTasks(job: Job): boolean {
    if (this.#inheritedJobIds.size === 0 || !this.#inheritedJobIds.has(job.spec.id)) return true;
    if (!this.#areWorkersResolved()) return false;
    const { log, claim, counters } = this.#deps;
    const unreached = this.#unreachedWorkers.map(({ record }) => record.id);
    log.info('inherited_jobs_released', {
      service: claim.service,
      jobs: this.#inheritedJobIds.size,
      waited_ms: this.#waitedMs(),
      unreached: unreached.length,
      unreached_workers: unreached.slice(0, MAX_LOGGED_WORKERS).join(',') || undefined,
    });
    counters.observe('inherited_wait_ms', this.#waitedMs());
    this.#inheritedJobIds.clear();
    return true;
  }
}
