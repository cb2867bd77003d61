import type { JobsSettings } from './defaults.js';
import { JobState, type JobRecord, type JobRun, type Resources } from './types.js';

/** What this process knows about the start of an attempt. */
export enum RunPhase {
  /** The attempt may have started. */
  Unconfirmed = 'unconfirmed',
  /** The worker confirmed the start. */
  Confirmed = 'confirmed',
}

/** An attempt with what this process observed of it. Times are monotonic, in milliseconds. */
export interface RunState {
  job: OpenJob;
  run: JobRun;
  phase: RunPhase;
  /** When this process started the attempt; undefined for adopted attempts. */
  startedAt?: number;
  /** Latest time at which the worker may have received a renewal. */
  renewedAt: number;
  /** Use that placement counts with. */
  usage: Resources;
  usageObserved: boolean;
  throttled: boolean;
  /** When the attempt was last asked to make room. */
  evictedAt?: number;
}

/** An open job in memory. */
export interface OpenJob {
  record: JobRecord;
  /** Version of the job row. */
  version: number;
  /** When the job was queued here; monotonic, in milliseconds. */
  queuedAt: number;
  /** A write of the row is prepared or under way. */
  writing: boolean;
  /** The row must be read again before the next decision. */
  stale: boolean;
  /** A cancellation was requested; the job gets no further attempts. */
  cancelRequested: boolean;
  runs: Map<string, RunState>;
}

/** The open jobs of a zone that its controller works on; bounded. */
export class OpenJobs {
  readonly #settings: JobsSettings;
  readonly #jobs = new Map<string, OpenJob>();
  readonly #urgentQueue = new Set<OpenJob>();
  readonly #normalQueues = new Map<string, Set<OpenJob>>();
  readonly #parked = new Set<OpenJob>();
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

  /** VMs with attempts. */
  vms(): string[] {
    return [...this.#runsByVm.keys()];
  }

  runsOn(vm: string): RunState[] {
    return [...(this.#runsByVm.get(vm)?.values() ?? [])];
  }

  /** Whether an attempt is still recorded. */
  isCurrent(state: RunState): boolean {
    return this.#runsByVm.get(state.run.vm)?.get(state.run.taskId) === state;
  }

  hasRoom(urgent: boolean): boolean {
    const { maxKnownJobs, maxKnownUrgentJobs } = this.#settings;
    return this.#jobs.size < maxKnownJobs + (urgent ? maxKnownUrgentJobs : 0);
  }

  /**
   * Takes over a row.
   *
   * @param now - monotonic time in milliseconds
   * @returns attempts that the row no longer names; undefined when there is no room for the job
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

  /** Forgets a job and returns its attempts. */
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
