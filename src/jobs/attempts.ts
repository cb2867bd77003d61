import {
  PlatformErrorCode,
  TaskState,
  type TaskSpec,
  type TaskStatus,
  type WorkerReport,
} from '../platform/index.js';
import type { JobContext } from './context.js';
import { RunPhase, type OpenJob, type RunState } from './openJobs.js';
import { RunEnd, uncountedEnds } from './policy.js';
import { jobKeys } from './rows.js';
import { JobState, ParkReason, type JobRecord, type JobRun, type Resources } from './types.js';

/** Maximum number of failed workers recorded per job. */
const MAX_AVOIDED_WORKERS = 8;

/** Starts, monitors and ends attempts of jobs. */
export class Attempts {
  readonly #context: JobContext;
  /** VMs whose status read is in progress. */
  readonly #pollingVms = new Set<string>();
  /** When the VM was last selected by a poll round. */
  #lastPolledAt = new Map<string, number>();
  /** When the unfinished background poll of the VM was requested. */
  readonly #pollRequestedAt = new Map<string, number>();
  /** Last reported incarnation of the worker, by VM. */
  readonly #incarnations = new Map<string, string>();
  /** Ids of tasks whose start call has not completed. */
  readonly #startingTaskIds = new Set<string>();

  constructor(context: JobContext) {
    this.#context = context;
  }

  /**
   * Records an attempt in the job's row, then starts its task on the worker.
   *
   * @param isDuplicate - whether the attempt is a speculative copy of a straggler
   */
  async begin(job: OpenJob, vm: string, need: Resources, isDuplicate = false): Promise<void> {
    const { clock, policy, settings } = this.#context;
    const decidedAt = clock.now();
    const { record } = job;
    const incarnation = await this.#incarnationFor(job, vm);
    if (!record.idempotent && incarnation === undefined) return;
    const epoch = record.epoch + 1;
    const taskId = `${record.id}.${epoch}`;
    const resultKey = jobKeys.result(record.id, epoch);
    const run: JobRun = { taskId, vm, epoch, resultKey, isDuplicate, incarnation };
    const attempts = record.attempts + (isDuplicate ? 0 : 1);
    const runs = [...record.runs, run];
    const next: JobRecord = { ...record, state: JobState.Running, epoch, attempts, runs };
    this.#startingTaskIds.add(taskId);
    const isWritten = await this.#context.write(job, next);
    const state = isWritten ? job.runs.get(taskId) : undefined;
    // If this process was paused here, a new lease holder may already have given up the attempt.
    const mayStillStart =
      policy.mayStart(clock.now() - decidedAt, settings) && this.#context.holdsLease();
    if (!state || !mayStillStart) {
      this.#startingTaskIds.delete(taskId);
      if (state) await this.end(state, RunEnd.NotSent);
      return;
    }
    state.usage = need;
    let end: RunEnd | undefined;
    const start = async () => {
      end = await this.#start(state, need);
    };
    await this.#context.runInBackground(start, record.urgent);
    this.#startingTaskIds.delete(taskId);
    if (end) await this.end(state, end);
  }

  /**
   * Polls suspect workers and workers with attempts, least recently polled first, at most
   * `maxPollsPerRound` per call.
   */
  pollRound(): void {
    const polledAt = this.#lastPolledAt;
    const vms = [...new Set([...this.#context.openJobs.vms(), ...this.#context.suspects()])];
    const order = vms.sort((a, b) => (polledAt.get(a) ?? 0) - (polledAt.get(b) ?? 0));
    this.#lastPolledAt = new Map(order.map((vm) => [vm, polledAt.get(vm) ?? 0]));
    for (const vm of order.slice(0, this.#context.settings.maxPollsPerRound)) {
      this.#lastPolledAt.set(vm, this.#context.clock.now());
      this.#pollInBackground(vm);
    }
  }

  /** Polls a worker in the background unless such a poll is already pending. */
  #pollInBackground(vm: string): void {
    if (this.#pollRequestedAt.has(vm)) return;
    this.#pollRequestedAt.set(vm, this.#context.clock.now());
    void this.#context
      .runInBackground(() => this.poll(vm))
      .finally(() => this.#pollRequestedAt.delete(vm));
  }

  /** VMs whose poll response is late; they get tasks only if no other worker has capacity. */
  lateWorkers(): string[] {
    const lateSince = this.#context.clock.now() - this.#context.settings.lateAnswerMs;
    return [...this.#pollRequestedAt].filter(([, at]) => at <= lateSince).map(([vm]) => vm);
  }

  /** Reads the status of a worker's tasks and handles each change. */
  async poll(vm: string): Promise<void> {
    if (this.#pollingVms.has(vm)) return;
    this.#pollingVms.add(vm);
    try {
      // Tasks that are being started may be missing from the response.
      const expected = this.#context.openJobs
        .runsOn(vm)
        .filter(({ run }) => !this.#startingTaskIds.has(run.taskId));
      const report = await this.#readReport(vm);
      if (!this.#context.holdsLease()) return;
      if (!report) {
        for (const state of expected) await this.#endIfLeaseLapsed(state);
        return;
      }
      const byId = new Map(report.tasks.map((status) => [status.id, status]));
      for (const state of expected) {
        if (this.#context.openJobs.isCurrent(state))
          await this.#handleStatus(state, byId.get(state.run.taskId));
      }
    } finally {
      this.#pollingVms.delete(vm);
    }
  }

  /**
   * Asks the worker to checkpoint and end a task; the next poll requeues the job. If the worker
   * rejects the checkpoint call, the task of an idempotent job is stopped instead.
   */
  async evict(state: RunState, reason: string): Promise<void> {
    const { workers } = this.#context.deps.platform;
    state.evictedAt = this.#context.clock.now();
    this.#context.counters.evicted.inc({ reason });
    const { vm, taskId } = state.run;
    const result = await workers.checkpoint(vm, taskId);
    if (result.isErr && !result.error.mayHaveTakenEffect && state.job.record.idempotent) {
      await workers.stop(vm, taskId);
    }
  }

  /**
   * Removes an attempt without a result from the job's row. After the last attempt, the job is
   * requeued, parked or failed.
   */
  async end(state: RunState, reason: RunEnd, status?: TaskStatus): Promise<void> {
    const { job, run } = state;
    const { record } = job;
    if (!this.#context.isWritable(job) || !this.#context.openJobs.isCurrent(state)) return;
    const runs = record.runs.filter(({ taskId }) => taskId !== run.taskId);
    const isCounted = !uncountedEnds.has(reason) || run.isDuplicate === true;
    const isWorkerFault = reason === RunEnd.Failed || reason === RunEnd.StartRefused;
    const next: JobRecord = {
      ...record,
      runs,
      attempts: record.attempts - (isCounted ? 0 : 1),
      avoid: isWorkerFault ? [...record.avoid, run.vm].slice(-MAX_AVOIDED_WORKERS) : record.avoid,
      checkpoint: status?.checkpoint ?? record.checkpoint,
      error: status?.error ?? record.error,
    };
    if (runs.length === 0) Object.assign(next, this.#stateAfterLastRun(next, reason));
    if (!(await this.#context.write(job, next))) return;
    this.#context.counters.runEnds.inc({ end: reason });
    if (isWorkerFault) this.#context.workerHealth.recordFailure(run.vm, record.id);
    if (next.parkReason) this.#context.counters.parked.inc({ reason: next.parkReason });
    this.#context.triggerPlacementIfUrgent();
  }

  #stateAfterLastRun(record: JobRecord, reason: RunEnd): Partial<JobRecord> {
    const { policy, settings } = this.#context;
    if (!policy.mayRunAgain(record, reason)) {
      return { state: JobState.Parked, parkReason: ParkReason.MayHaveRun };
    }
    if (record.attempts < settings.maxAttempts) return { state: JobState.Queued };
    const error = record.error ?? `job produced no result in ${record.attempts} attempts`;
    return { state: JobState.Failed, error };
  }

  /** Reads the report of a worker; undefined if the call failed. */
  async #readReport(vm: string): Promise<WorkerReport | undefined> {
    const result = await this.#context.deps.platform.workers.report(vm);
    if (result.isErr) {
      this.#incarnations.delete(vm);
      // The local rate limit rejected the call, which says nothing about the worker.
      if (result.error.code !== PlatformErrorCode.RateLimited) this.#context.markSuspect(vm);
      return undefined;
    }
    this.#context.clearSuspect(vm);
    this.#incarnations.set(vm, result.value.incarnation);
    return result.value;
  }

  /**
   * Returns the worker incarnation to record with an attempt, by which a later controller can
   * prove that the task never started. Undefined for idempotent jobs, which can always run again,
   * and if the worker does not respond.
   */
  async #incarnationFor(job: OpenJob, vm: string): Promise<string | undefined> {
    if (job.record.idempotent) return undefined;
    const known = this.#incarnations.get(vm);
    if (known !== undefined || !this.#context.isWritable(job)) return known;
    job.writing = true;
    const report = await this.#readReport(vm);
    job.writing = false;
    return report?.incarnation;
  }

  /** Starts the task; returns the reason if the attempt has ended. */
  async #start(state: RunState, need: Resources): Promise<RunEnd | undefined> {
    const { clock, counters, settings, deps } = this.#context;
    const { record } = state.job;
    const { vm, taskId, epoch, resultKey, incarnation } = state.run;
    const spec: TaskSpec = {
      ...need,
      id: taskId,
      jobId: record.id,
      epoch,
      leaseMs: settings.leaseMs,
      payload: record.payload,
      checkpoint: record.checkpoint,
      resultKey,
      incarnation,
    };
    const result = await deps.platform.workers.start(vm, spec);
    const now = clock.now();
    state.renewedAt = now;
    if (result.isOk) {
      state.phase = RunPhase.Confirmed;
      state.startedAt = now;
      counters.started.inc({ urgent: `${record.urgent}` });
      return undefined;
    }
    const { code, mayHaveTakenEffect } = result.error;
    if (code === PlatformErrorCode.OtherIncarnation) {
      this.#incarnations.delete(vm);
      return RunEnd.NotSent;
    }
    if (code !== PlatformErrorCode.RateLimited) this.#context.markSuspect(vm);
    if (mayHaveTakenEffect) {
      return record.urgent && record.idempotent ? RunEnd.Abandoned : undefined;
    }
    return code === PlatformErrorCode.Refused ? RunEnd.StartRefused : RunEnd.NotSent;
  }

  async #handleStatus(state: RunState, status: TaskStatus | undefined): Promise<void> {
    switch (status?.state) {
      case undefined:
        await this.#handleUnknownTask(state);
        return;
      case TaskState.Running:
        await this.#handleRunningTask(state, status);
        return;
      case TaskState.Finished:
        await this.#complete(state, status);
        return;
      case TaskState.Failed:
        await this.end(state, RunEnd.Failed, status);
        return;
      case TaskState.Checkpointed:
        await this.end(state, RunEnd.Interrupted, status);
        return;
      case TaskState.Stopped:
        await this.end(state, RunEnd.Stopped, status);
    }
  }

  /** Ends an attempt whose task is missing from its worker's report. */
  async #handleUnknownTask(state: RunState): Promise<void> {
    // After the stop call, the worker refuses a start call that arrives late.
    const { vm, taskId, incarnation } = state.run;
    const stopResult = await this.#context.deps.platform.workers.stop(vm, taskId);
    if (stopResult.isErr) return;
    if (incarnation === undefined) {
      await this.end(state, RunEnd.Vanished);
      return;
    }
    // Only a report read after the stop shows which incarnation of the worker processed it.
    const report = await this.#readReport(vm);
    if (!report || report.tasks.some(({ id }) => id === taskId)) return;
    const isSameIncarnation = report.incarnation === incarnation;
    await this.end(state, isSameIncarnation ? RunEnd.NeverStarted : RunEnd.Vanished);
  }

  /** Ends an attempt on an unreachable worker once its lease has certainly lapsed. */
  async #endIfLeaseLapsed(state: RunState): Promise<void> {
    const { clock, policy, settings } = this.#context;
    const sinceRenewalMs = clock.now() - state.renewedAt;
    if (!this.#context.openJobs.isCurrent(state)) return;
    if (!policy.hasLeaseLapsed(sinceRenewalMs, settings)) return;
    await this.end(state, RunEnd.LeaseLapsed);
  }

  async #handleRunningTask(state: RunState, status: TaskStatus): Promise<void> {
    state.phase = RunPhase.Confirmed;
    this.#recordUsage(state, status);
    await this.#renewLease(state);
  }

  /**
   * Records the reported usage of a task. During the first `usageLagMs`, a worker reports the
   * declared resources, so such reports are ignored.
   */
  #recordUsage(state: RunState, status: TaskStatus): void {
    const { clock, settings, resourceModel } = this.#context;
    if (state.startedAt === undefined || clock.now() - state.startedAt < settings.usageLagMs) {
      return;
    }
    const usage: Resources = {
      cores: status.coresUsed,
      memoryMib: status.memoryUsedMib,
      accelerators: status.acceleratorsUsed,
    };
    if (!state.usageObserved) resourceModel.observeUsage(state.job.record.kind, usage);
    state.usageObserved = true;
    state.usage = usage;
  }

  /** Renews the lease of a task after a third of its duration. */
  async #renewLease(state: RunState): Promise<void> {
    const { clock, settings, deps } = this.#context;
    if (clock.now() - state.renewedAt < settings.leaseMs / 3) return;
    const { vm, taskId, epoch } = state.run;
    const result = await deps.platform.workers.renew(vm, taskId, epoch, settings.leaseMs);
    if (result.isOk || result.error.mayHaveTakenEffect) state.renewedAt = clock.now();
  }

  /** Publishes the result: writes its length and checksum to the row in one conditional write. */
  async #complete(state: RunState, status: TaskStatus): Promise<void> {
    const { clock, workerHealth, resourceModel } = this.#context;
    const { resultBytes: bytes, resultSha256: sha256 } = status;
    if (bytes === undefined || sha256 === undefined) {
      const error = 'worker reported a finished task without the length or checksum of its result';
      await this.end(state, RunEnd.Failed, { ...status, error });
      return;
    }
    this.#recordUsage(state, status);
    const { job, run, startedAt } = state;
    const result = { key: run.resultKey, bytes, sha256 };
    const next = { ...job.record, state: JobState.Succeeded, runs: [], result, error: undefined };
    if (!(await this.#context.write(job, next))) return;
    workerHealth.recordSuccess(run.vm);
    if (startedAt !== undefined)
      resourceModel.observeRunTime(job.record.kind, clock.now() - startedAt);
    this.#context.triggerPlacementIfUrgent();
  }
}
