import { randomUUID } from 'node:crypto';
import type { Clock } from '../clock/index.js';
import { messageOf } from '../errors/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PlatformClient } from '../platform/index.js';
import type { JobsSettings } from './defaults.js';
import { JobWriter, WriteOutcome } from './jobWriter.js';
import { OpenJobs, type OpenJob, type RunState } from './openJobs.js';
import { defaultJobPolicy, type JobPolicy } from './policy.js';
import { ResourceModel } from './resourceModel.js';
import { endingWrites, jobKeys } from './rows.js';
import {
  JobState,
  type JobRecord,
  type LeaseCondition,
  type Resources,
  type Worker,
} from './types.js';
import { WorkerHealth } from './workerHealth.js';

/** Dependencies of the job controller of a zone. */
export interface JobControllerDeps {
  zone: string;
  platform: PlatformClient;
  settings: JobsSettings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Lease condition attached to every write of this controller. */
  leaseCondition: LeaseCondition;
  /** All workers in the zone's inventory, whether in service or not. */
  workers: () => readonly Worker[];
  /** Overrides individual decisions of {@link defaultJobPolicy}. */
  policy?: Partial<JobPolicy>;
}

const endedStates: ReadonlySet<JobState> = new Set([
  JobState.Succeeded,
  JobState.Failed,
  JobState.Cancelled,
]);

/** State and operations shared by the components of the job controller. */
export class JobContext {
  readonly deps: JobControllerDeps;
  readonly settings: JobsSettings;
  readonly clock: Clock;
  readonly policy: JobPolicy;
  readonly openJobs: OpenJobs;
  readonly resourceModel: ResourceModel;
  readonly workerHealth: WorkerHealth;
  /** VMs being vacated before a planned stop; they get no new tasks. */
  readonly vacating = new Set<string>();
  readonly counters;
  readonly #writer: JobWriter;
  /** VMs whose workers did not respond, with the time until which they get no tasks. */
  readonly #suspects = new Map<string, number>();
  readonly #backgroundTasks = new Set<Promise<void>>();
  /** Background tasks waiting for a slot, in order of arrival. */
  readonly #slotWaiters: ((hasSlot: boolean) => void)[] = [];
  #slotsInUse = 0;
  #isClosed = false;
  /** Starts the next placement round without waiting for the interval; set by the controller. */
  triggerPlacement: () => void = () => undefined;

  constructor(deps: JobControllerDeps) {
    const { settings, clock, metrics, logger } = deps;
    this.deps = deps;
    this.settings = settings;
    this.clock = clock;
    this.policy = { ...defaultJobPolicy, ...deps.policy };
    this.openJobs = new OpenJobs(settings);
    this.counters = {
      ended: metrics.counter('jobs_ended_total', 'Jobs that reached a final state', ['state']),
      parked: metrics.counter('jobs_parked_total', 'Jobs parked', ['reason']),
      runEnds: metrics.counter('jobs_run_ends_total', 'Attempts that ended without a result', [
        'end',
      ]),
      started: metrics.counter('jobs_starts_total', 'Attempts started', ['urgent']),
      duplicated: metrics.counter('jobs_duplicates_total', 'Stragglers duplicated'),
      throttled: metrics.counter('jobs_throttles_total', 'Stragglers throttled'),
      evicted: metrics.counter('jobs_evictions_total', 'Attempts asked to checkpoint and end', [
        'reason',
      ]),
      notLoaded: metrics.counter(
        'jobs_not_loaded_total',
        'Job rows not loaded because the memory limit was reached',
      ),
      noticesDropped: metrics.counter(
        'jobs_notices_dropped_total',
        'Job notices dropped, leaving the jobs to the periodic scans',
      ),
      kindsDropped: metrics.counter(
        'jobs_kinds_dropped_total',
        'Learned job kinds evicted from memory',
      ),
      quarantined: metrics.counter('jobs_quarantines_total', 'Quarantines of workers'),
      writes: metrics.counter('jobs_writes_total', 'Job row writes by outcome', ['outcome']),
    };
    this.resourceModel = new ResourceModel(settings, () => {
      this.counters.kindsDropped.inc();
    });
    this.workerHealth = new WorkerHealth(clock, settings, (vm, quarantineMs) => {
      this.counters.quarantined.inc();
      logger.warn({ event: 'worker_quarantined', vm, quarantine_ms: quarantineMs });
    });
    this.#writer = new JobWriter({
      table: deps.platform.table,
      clock,
      leaseCondition: deps.leaseCondition,
      maxBatch: settings.maxBatch,
    });
  }

  /** Whether this process holds the zone lease. Clears the jobs in memory if it does not. */
  holdsLease(): boolean {
    if (this.deps.leaseCondition()) return true;
    this.openJobs.clear();
    return false;
  }

  /** Resources to allocate for a job. */
  requirement(job: JobRecord): Resources {
    return this.policy.requirement(job, this.resourceModel.learnedUsage(job.kind));
  }

  /** Whether a job's row may be written now. */
  isWritable(job: OpenJob): boolean {
    return !job.writing && !job.stale && this.openJobs.get(job.record.id) === job;
  }

  /**
   * Writes a job's row and updates the job in memory.
   *
   * @returns whether the write is known to be committed
   */
  async write(job: OpenJob, next: JobRecord): Promise<boolean> {
    if (!this.isWritable(job)) return false;
    job.writing = true;
    const record = { ...next, writeId: randomUUID() };
    const { zone, id, urgent, state } = record;
    const key = jobKeys.open(zone, id);
    const isEnded = endedStates.has(state);
    const outcome = await this.#writer.write({
      key,
      version: job.version,
      writes: isEnded ? endingWrites(record) : [{ key, value: record }],
      readBackKey: isEnded ? jobKeys.ended(zone, id) : key,
      writeId: record.writeId,
      urgent,
    });
    job.writing = false;
    this.counters.writes.inc({ outcome });
    if (this.openJobs.get(id) !== job) return outcome === WriteOutcome.Committed;
    if (outcome === WriteOutcome.LeaseLost) this.openJobs.clear();
    if (outcome === WriteOutcome.Stale) await this.reload(job);
    if (outcome !== WriteOutcome.Committed) return false;
    if (isEnded) this.#removeEnded(job, record);
    else this.applyRow(record, job.version + 1);
    return true;
  }

  /** Updates the job in memory from its row and stops tasks that the row no longer contains. */
  applyRow(record: JobRecord, version: number): void {
    const dropped = this.openJobs.upsert(record, version, this.clock.now());
    if (!dropped) this.counters.notLoaded.inc();
    for (const state of dropped ?? []) this.stopTask(state);
  }

  /** Reads a job's row again. */
  async reload(job: OpenJob): Promise<void> {
    job.stale = true;
    const { zone, id } = job.record;
    const row = await this.deps.platform.table.get(jobKeys.open(zone, id));
    if (row.isErr || this.openJobs.get(id) !== job) return;
    if (row.value) this.applyRow(row.value.value as JobRecord, row.value.version);
    else this.#removeAndStopRuns(job);
  }

  /** Stops a task in the background. If the call fails, the task ends when its lease lapses. */
  stopTask({ run }: RunState): void {
    void this.runInBackground(async () => {
      await this.deps.platform.workers.stop(run.vm, run.taskId);
    });
  }

  /** Excludes a worker from placement for `suspectMs`, as it did not respond. */
  markSuspect(vm: string): void {
    this.#suspects.set(vm, this.clock.now() + this.settings.suspectMs);
  }

  /** Allows placement on a worker again, as it responded. */
  clearSuspect(vm: string): void {
    if (this.#suspects.delete(vm)) this.triggerPlacementIfUrgent();
  }

  suspects(): Iterable<string> {
    return this.#suspects.keys();
  }

  /** Workers on which new tasks may be placed. */
  usableWorkers(): Worker[] {
    const now = this.clock.now();
    for (const [vm, until] of this.#suspects) if (until <= now) this.#suspects.delete(vm);
    return this.deps
      .workers()
      .filter(
        ({ vm, usable }) =>
          usable &&
          !this.vacating.has(vm) &&
          !this.#suspects.has(vm) &&
          !this.workerHealth.isQuarantined(vm),
      );
  }

  /** Triggers a placement round if an urgent job is queued. */
  triggerPlacementIfUrgent(): void {
    if (this.openJobs.hasQueuedUrgent) this.triggerPlacement();
  }

  /**
   * Runs a task that calls workers concurrently with the controller's loops. At most
   * `maxWorkerCalls` tasks run at once, not counting urgent ones.
   *
   * @param urgent - run without waiting for a slot, as calls to slow workers may occupy all slots
   * @returns resolves when the task has ended or was dropped; never rejects
   */
  runInBackground(task: () => Promise<void>, urgent = false): Promise<void> {
    const running = (urgent ? task() : this.#runWithSlot(task))
      .catch((err: unknown) => {
        this.deps.logger.error({ event: 'job_background_task_failed', error: messageOf(err) });
      })
      .finally(() => this.#backgroundTasks.delete(running));
    this.#backgroundTasks.add(running);
    return running;
  }

  /** Accepts background tasks again after {@link drainBackgroundTasks}. */
  acceptBackgroundTasks(): void {
    this.#isClosed = false;
  }

  /** Drops background tasks that are waiting for a slot and waits for the running ones. */
  async drainBackgroundTasks(): Promise<void> {
    this.#isClosed = true;
    for (const next of this.#slotWaiters.splice(0)) next(false);
    while (this.#backgroundTasks.size > 0) await Promise.allSettled(this.#backgroundTasks);
  }

  async #runWithSlot(task: () => Promise<void>): Promise<void> {
    if (this.#isClosed) return;
    if (this.#slotsInUse >= this.settings.maxWorkerCalls) {
      const hasSlot = await new Promise<boolean>((resolve) => this.#slotWaiters.push(resolve));
      if (!hasSlot) return;
    } else {
      this.#slotsInUse += 1;
    }
    try {
      await task();
    } finally {
      const next = this.#slotWaiters.shift();
      // The slot passes directly to the next waiting task.
      if (next) next(true);
      else this.#slotsInUse -= 1;
    }
  }

  /** Logs and counts an ended job and removes it from memory. */
  #removeEnded(job: OpenJob, record: JobRecord): void {
    const { id, state, attempts, error } = record;
    this.counters.ended.inc({ state });
    this.deps.logger.info({ event: 'job_ended', job: id, state, attempts, error });
    this.#removeAndStopRuns(job, record.result?.key);
  }

  /**
   * Removes a job from memory and stops its attempts.
   *
   * @param finishedResultKey - result key of the finished attempt, which is not stopped
   */
  #removeAndStopRuns(job: OpenJob, finishedResultKey?: string): void {
    for (const state of this.openJobs.remove(job)) {
      if (state.run.resultKey !== finishedResultKey) this.stopTask(state);
    }
  }
}
