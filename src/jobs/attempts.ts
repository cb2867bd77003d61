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

/** Failed workers remembered per job. */
const MAX_AVOIDED_WORKERS = 8;

/** Starts, watches and ends attempts of jobs. */
export class Attempts {
  readonly #context: JobContext;
  readonly #pollingVms = new Set<string>();
  /** Time of the latest poll, by VM. */
  #lastPolledAt = new Map<string, number>();
  /** When a poll was requested that has not ended, by VM. */
  readonly #pollRequestedAt = new Map<string, number>();
  /** Latest known incarnation, by VM. */
  readonly #incarnations = new Map<string, string>();
  /** Task ids whose start call is not yet answered. */
  readonly #startingTaskIds = new Set<string>();

  constructor(context: JobContext) {
    this.#context = context;
  }

  /**
   * Records an attempt in the job's row, then starts it on the worker.
   *
   * @param isDuplicate - whether it runs beside an attempt that is a straggler
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
    // A process that was paused here could start a task that its successor gave up on.
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

  /** Polls suspect workers and those with attempts, the longest unpolled first, at most so many per call. */
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

  /** Polls a worker in the background, unless that is already under way. */
  #pollInBackground(vm: string): void {
    if (this.#pollRequestedAt.has(vm)) return;
    this.#pollRequestedAt.set(vm, this.#context.clock.now());
    void this.#context
      .runInBackground(() => this.poll(vm))
      .finally(() => this.#pollRequestedAt.delete(vm));
  }

  /** Workers whose answer to a poll is late; they get tasks only if no other has room. */
  lateWorkers(): string[] {
    const lateSince = this.#context.clock.now() - this.#context.settings.lateAnswerMs;
    return [...this.#pollRequestedAt].filter(([, at]) => at <= lateSince).map(([vm]) => vm);
  }

  /** Reads the status of a worker's tasks and acts on them. */
  async poll(vm: string): Promise<void> {
    if (this.#pollingVms.has(vm)) return;
    this.#pollingVms.add(vm);
    try {
      // Attempts that start while the answer is on its way may be missing from it.
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
   * Asks an attempt to checkpoint and end; the next poll queues the job again. An idempotent
   * job whose task cannot checkpoint is stopped.
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

  /** Takes an attempt that left no result out of the job's row and decides what follows. */
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
    const error = record.error ?? `no result after ${record.attempts} attempts`;
    return { state: JobState.Failed, error };
  }

  /** Reads what a worker reports; undefined when it gave no answer. */
  async #readReport(vm: string): Promise<WorkerReport | undefined> {
    const result = await this.#context.deps.platform.workers.report(vm);
    if (result.isErr) {
      this.#incarnations.delete(vm);
      // A spent share says nothing about the worker.
      if (result.error.code !== PlatformErrorCode.RateLimited) this.#context.markSuspect(vm);
      return undefined;
    }
    this.#context.clearSuspect(vm);
    this.#incarnations.set(vm, result.value.incarnation);
    return result.value;
  }

  /**
   * Incarnation to record with an attempt, so that a successor can tell one that never started.
   * Undefined for idempotent jobs, which run again in any case, and when the worker is silent.
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

  /** Starts the task. Returns how the attempt ended, if it did. */
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

  async #handleUnknownTask(state: RunState): Promise<void> {
    // The stop makes the worker refuse a start that is still on its way.
    const { vm, taskId, incarnation } = state.run;
    const stopResult = await this.#context.deps.platform.workers.stop(vm, taskId);
    if (stopResult.isErr) return;
    if (incarnation === undefined) {
      await this.end(state, RunEnd.Vanished);
      return;
    }
    // Only a report from after the fence shows which incarnation holds it.
    const report = await this.#readReport(vm);
    if (!report || report.tasks.some(({ id }) => id === taskId)) return;
    const isSameIncarnation = report.incarnation === incarnation;
    await this.end(state, isSameIncarnation ? RunEnd.NeverStarted : RunEnd.Vanished);
  }

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

  /** Learns the use of a task once its report no longer shows the declared size. */
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

  async #renewLease(state: RunState): Promise<void> {
    const { clock, settings, deps } = this.#context;
    if (clock.now() - state.renewedAt < settings.leaseMs / 3) return;
    const { vm, taskId, epoch } = state.run;
    const result = await deps.platform.workers.renew(vm, taskId, epoch, settings.leaseMs);
    if (result.isOk || result.error.mayHaveTakenEffect) state.renewedAt = clock.now();
  }

  /** Makes the result visible: one conditional write of the row with length and checksum. */
  async #complete(state: RunState, status: TaskStatus): Promise<void> {
    const { clock, workerHealth, resourceModel } = this.#context;
    const { resultBytes: bytes, resultSha256: sha256 } = status;
    if (bytes === undefined || sha256 === undefined) {
      const error = 'the worker reported no length or checksum';
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
