import type { JobsSettings } from './defaults.js';
import { JobState, type JobRecord, type JobRun, type Resources } from './types.js';

/** Whether the worker has confirmed the start of an attempt. */
export enum RunPhase {
  /** The attempt may have started. */
  Unconfirmed = 'unconfirmed',
  /** The worker confirmed the start. */
  Confirmed = 'confirmed',
}

/** In-memory state of an attempt. Times are monotonic, in milliseconds. */
export interface RunState {
  job: OpenJob;
  run: JobRun;
  phase: RunPhase;
  /** When this process started the attempt; undefined for attempts read from the table. */
  startedAt?: number;
  /** Latest time at which the worker may have received a lease renewal. */
  renewedAt: number;
  /** Resources that placement subtracts from the worker: allocated, later observed ones. */
  usage: Resources;
  usageObserved: boolean;
  throttled: boolean;
  /** When eviction of the attempt was last requested. */
  evictedAt?: number;
}

/** In-memory state of an open job. */
export interface OpenJob {
  record: JobRecord;
  /** Version of the job row. */
  version: number;
  /** Monotonic time in milliseconds at which this process saw the job enter its present state. */
  queuedAt: number;
  /** A write of the row is being prepared or in progress. */
  writing: boolean;
  /** The row must be read again before it is written. */
  stale: boolean;
  /** A cancellation was requested; the job gets no further attempts. */
  cancelRequested: boolean;
  runs: Map<string, RunState>;
}

/**
 * Open jobs of a zone held in memory by its controller, indexed by queue and VM. The number of
 * jobs is bounded by `maxKnownJobs` and `maxKnownUrgentJobs`.
 */
export class OpenJobs {
  readonly #settings: JobsSettings;
  /** By job id. */
  readonly #jobs = new Map<string, OpenJob>();
  readonly #urgentQueue = new Set<OpenJob>();
  /** Queued normal jobs by team; teams without such jobs have no entry. */
  readonly #normalQueues = new Map<string, Set<OpenJob>>();
  readonly #parked = new Set<OpenJob>();
  /** Attempts by VM and task id; VMs without attempts have no entry. */
  readonly #runsByVm = new Map<string, Map<string, RunState>>();

  constructor(settings: JobsSettings) {
    this.#settings = settings;
  }

  get size(): number {
    return this.#jobs.size;
  }

  get(id: string): OpenJob | undefined {
    return this.#jobs.get(id);
  }

  all(): Iterable<OpenJob> {
    return this.#jobs.values();
  }

  /** Queued urgent jobs in order of arrival. */
  urgentQueue(): Iterable<OpenJob> {
    return this.#urgentQueue;
  }

  get hasQueuedUrgent(): boolean {
    return this.#urgentQueue.size > 0;
  }

  /** Queued normal jobs in order of arrival, by team. */
  normalQueues(): ReadonlyMap<string, ReadonlySet<OpenJob>> {
    return this.#normalQueues;
  }

  parked(): Iterable<OpenJob> {
    return this.#parked;
  }

  /** VMs that have at least one attempt. */
  vms(): string[] {
    return [...this.#runsByVm.keys()];
  }

  runsOn(vm: string): RunState[] {
    return [...(this.#runsByVm.get(vm)?.values() ?? [])];
  }

  /** Whether the attempt is still part of its job's row. */
  isCurrent(state: RunState): boolean {
    return this.#runsByVm.get(state.run.vm)?.get(state.run.taskId) === state;
  }

  /** Whether another job may be loaded into memory. */
  hasRoom(urgent: boolean): boolean {
    const { maxKnownJobs, maxKnownUrgentJobs } = this.#settings;
    return this.#jobs.size < maxKnownJobs + (urgent ? maxKnownUrgentJobs : 0);
  }

  /**
   * Adds or updates a job from its row.
   *
   * @param now - monotonic time in milliseconds
   * @returns attempts that the row no longer contains; undefined if the job is beyond the limit
   */
  upsert(record: JobRecord, version: number, now: number): RunState[] | undefined {
    let job = this.#jobs.get(record.id);
    if (!job) {
      if (!this.hasRoom(record.urgent)) return undefined;
      job = {
        record,
        version,
        queuedAt: now,
        writing: false,
        stale: false,
        cancelRequested: false,
        runs: new Map(),
      };
      this.#jobs.set(record.id, job);
    }
    if (job.record.state !== record.state) job.queuedAt = now;
    job.record = record;
    job.version = version;
    job.stale = false;
    this.#enqueue(job);
    return this.#reconcileRuns(job, now);
  }

  /** Removes a job and returns its attempts. */
  remove(job: OpenJob): RunState[] {
    if (this.#jobs.get(job.record.id) !== job) return [];
    this.#jobs.delete(job.record.id);
    this.#dequeue(job);
    const runs = [...job.runs.values()];
    for (const state of runs) this.#dropRun(state);
    return runs;
  }

  clear(): void {
    for (const container of [
      this.#jobs,
      this.#urgentQueue,
      this.#normalQueues,
      this.#parked,
      this.#runsByVm,
    ]) {
      container.clear();
    }
  }

  #enqueue(job: OpenJob): void {
    const { state, urgent, team } = job.record;
    const queue = this.#normalQueues.get(team);
    if (state === JobState.Queued && (urgent ? this.#urgentQueue : queue)?.has(job)) return;
    this.#dequeue(job);
    if (state === JobState.Parked) this.#parked.add(job);
    if (state !== JobState.Queued) return;
    if (urgent) this.#urgentQueue.add(job);
    else if (queue && this.#normalQueues.has(team)) queue.add(job);
    else this.#normalQueues.set(team, new Set([job]));
  }

  #dequeue(job: OpenJob): void {
    this.#urgentQueue.delete(job);
    this.#parked.delete(job);
    const queue = this.#normalQueues.get(job.record.team);
    queue?.delete(job);
    if (queue?.size === 0) this.#normalQueues.delete(job.record.team);
  }

  /** Adjusts the attempts in memory to the row; returns those that the row no longer contains. */
  #reconcileRuns(job: OpenJob, now: number): RunState[] {
    const { runs, cores, memoryMib, accelerators } = job.record;
    const recordedTaskIds = new Set(runs.map(({ taskId }) => taskId));
    const dropped = [...job.runs.values()].filter(({ run }) => !recordedTaskIds.has(run.taskId));
    for (const state of dropped) this.#dropRun(state);
    for (const run of runs) {
      if (job.runs.has(run.taskId)) continue;
      const state: RunState = {
        job,
        run,
        phase: RunPhase.Unconfirmed,
        renewedAt: now,
        usage: { cores, memoryMib, accelerators },
        usageObserved: false,
        throttled: false,
      };
      job.runs.set(run.taskId, state);
      const runsOnVm = this.#runsByVm.get(run.vm) ?? new Map<string, RunState>();
      this.#runsByVm.set(run.vm, runsOnVm.set(run.taskId, state));
    }
    return dropped;
  }

  #dropRun({ job, run }: RunState): void {
    job.runs.delete(run.taskId);
    const runsOnVm = this.#runsByVm.get(run.vm);
    runsOnVm?.delete(run.taskId);
    if (runsOnVm?.size === 0) this.#runsByVm.delete(run.vm);
  }
}
