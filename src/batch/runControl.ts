import type { BudgetLedger } from '../accounts/index.js';
import type { Clock } from '../clock/index.js';
import {
  CopyEnd,
  copyEndOf,
  mayHaveCopies,
  recordCopyEnd,
  type CopyRecordDeps,
} from '../copies/index.js';
import {
  isRepresentative,
  recordRunTime,
  type RunTimeRecordDeps,
  type RunTimes,
} from '../runTimes/index.js';
import { RunHealth, type JudgedWorker, type WorkerHealth } from '../workerHealth/index.js';
import type { Counters } from './counters.js';
import { addCrash, attributeCrash, CrashRole, isGivenUp, mayHaveCrashed } from './crashSuspects.js';
import type { DecisionLog } from './decisionLog.js';
import { runsOf, type Job, type Step, type Task } from './job.js';
import { parseTaskName } from './jobCodec.js';
import type { JobTable } from './jobTable.js';
import { choosePaces } from './pacing.js';
import {
  OrderAnswer,
  type HoldReply,
  type ListedEnd,
  type ListedRun,
  type OrderReply,
  type WorkerClient,
} from './ports.js';
import { StartWindow } from './startWindow.js';
import { JobState, RunEnd } from './types.js';
import { createRun, isSpeedSample, RunPhase, type Run, type Worker } from './worker.js';

/** Length of the leases granted to workers. Must stay below the platform's maximum of 6 s. */
export const LEASE_MS = 5_000;
/** Longest lease that a worker grants; it shortens longer ones. Set by the platform's protocol. */
const MAX_WORKER_LEASE_MS = 6_000;
/** Time within which a lease that a worker has granted is over, by this process's clock. */
export const MAX_WORKER_LEASE_LIFE_MS = MAX_WORKER_LEASE_MS * 1.03;
/** Time after which a worker rejects a start order, because the lease in it is over on its clock. */
const START_ORDER_LIFE_MS = LEASE_MS * 1.03 + 300;
/** Delay before a stop order that was not confirmed is sent again. */
const STOP_RETRY_MS = 200;
/** How long a worker gets no new runs after it rejected one for lack of free resources. */
const NO_CAPACITY_PAUSE_MS = 150;
/**
 * How long a worker gets no new runs after it was unhealthy or a start order could not be sent to
 * it, and how long a task waits after its start order was rejected as malformed.
 */
const UNHEALTHY_PAUSE_MS = 1_000;
/**
 * How long a task waits after a worker refused its ticket, and how long a worker gets no new runs
 * after the lease in a start order was already over on its clock.
 */
const REJECTED_PAUSE_MS = 200;
/**
 * Initial and maximum delay of the exponential backoff for a task whose run number is too old for a
 * worker: one that still runs the task, or that was told to stop a run with a higher number.
 */
const RUN_TOO_OLD_PAUSE_MS = 100;
const RUN_TOO_OLD_PAUSE_MAX_MS = 1_000;
/**
 * Maximum number of run numbers to skip after one was too old. The step doubles up to it, so that
 * the few tries while a lease lasts stay within the numbers of one epoch.
 */
const MAX_RUN_NUMBER_STEP = 512;
/** How long a worker gets no new runs after it did not respond to a start order. */
const UNANSWERED_PAUSE_MS = 500;
/** Initial and maximum delay of the exponential backoff for a worker with repeated failures. */
const FAILURE_PAUSE_MS = 250;
const FAILURE_PAUSE_MAX_MS = 4_000;
/**
 * Consecutive failures of tasks that did not fail elsewhere after which a worker is paused, before
 * there is enough evidence to set it aside. Isolated failures are attributed to the tasks themselves.
 */
const FAILURES_BEFORE_PAUSE = 3;
/** Maximum number of tasks in the log line on the crash of a worker. */
const MAX_LOGGED_SUSPECTS = 10;
/** Delay before a failed long-running task is restarted. */
const LASTING_RETRY_MS = 100;

/** Dependencies of a {@link RunControl}. */
export interface RunControlDeps {
  workers: WorkerClient;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Sent as the fencing token with every order. */
  epoch: number;
  jobs: JobTable;
  /** Failed runs of a task after which its job fails, by queue; undefined if unknown now. */
  maxAttempts: (queue: string) => number | undefined;
  /** Undefined where workers are not judged. */
  health?: WorkerHealth;
  /** Expected run time of a task in milliseconds; 0 if unknown. */
  expectedMs: (task: Task) => number;
  /** Requests a placement round. */
  place: () => void;
  /** Discards a ticket that a worker refused. */
  discardTicket: (step: Step, workerId: string, ticket: string) => void;
  /** Gives up the service, because a worker has seen a higher fencing token. */
  lose: (reason: string) => void;
  /** Called when a task has succeeded. */
  onTaskDone: (task: Task) => void;
  /** Counts the runs of each account, from the start order until they are certainly over. */
  budget: Pick<BudgetLedger, 'addRun' | 'removeRun'>;
  runTimes: RunTimes;
  /** Whether a job's tasks may have runs of an earlier holder that are not known yet. */
  mayHaveUnknownRuns: (job: Job) => boolean;
}

/** The parts of a worker's answer that tell which runs it has. */
type ListedRuns = Pick<
  HoldReply & { isListed: true },
  'running' | 'workerTimeMs' | 'hasMoreEnds'
> & {
  /** Monotonic time at which the list was requested, in milliseconds. */
  requestedAt: number;
};

/** Starts, stops and tracks the runs of a service's tasks. */
export class RunControl {
  readonly #deps: RunControlDeps;
  readonly #startWindow = new StartWindow();
  readonly #runHealth: RunHealth;
  /** Dependencies of the records on runs that ended. */
  readonly #records: CopyRecordDeps & RunTimeRecordDeps;
  #isFenced = false;

  constructor(deps: RunControlDeps) {
    this.#deps = deps;
    const isRunning = ({ phase }: Run) => phase === RunPhase.Running;
    this.#runHealth = new RunHealth({ ...deps, isRunning, isSpeedSample });
    this.#records = { ...deps, service: deps.jobs.service };
  }

  /** Number of tasks that may be started now, see {@link StartWindow}. */
  get freeStarts(): number {
    return this.#startWindow.free;
  }

  /** Starts a task on a worker and reserves its resources immediately. */
  start(task: Task, worker: Worker, ticket?: string): void {
    const { step } = task;
    const { job } = step;
    let number = task.nextRun;
    if (step.spec.isGang) {
      const isFirst = step.idleCount === step.spec.count;
      if (isFirst) step.gangRun = Math.max(...step.tasks.map(({ nextRun }) => nextRun));
      number = step.gangRun;
    }
    const run = this.#createRun(task, worker, number, RunPhase.Starting);
    run.isTimed = isRepresentative(task, worker);
    job.attach(task, run);
    this.#reserve(run);
    this.#storeIfSuspect(run);
    void this.#sendStart(run, ticket);
  }

  /** Starts a second run of a task on another worker than that of the first. */
  startCopy(task: Task, worker: Worker, ticket?: string): void {
    const run = this.#createRun(task, worker, task.nextRun, RunPhase.Starting);
    run.isTimed = isRepresentative(task, worker);
    run.isCopy = true;
    task.step.job.attachCopy(task, run);
    this.#reserve(run);
    this.#storeIfSuspect(run);
    this.#deps.counters.count('copies', 'started');
    void this.#sendStart(run, ticket);
  }

  /** Lets a later holder learn of a run, in case this one ends before the crash is certain. */
  #storeIfSuspect(run: Run): void {
    const { job } = run.task.step;
    if (!job.finalState && mayHaveCrashed(run)) this.#deps.jobs.markDirty(job);
  }

  /** Handles the first call that a worker did not answer. */
  handleSilence(worker: Worker): void {
    for (const run of worker.runs.values()) {
      // Its end will be listed late.
      run.isTimed = false;
      this.#storeIfSuspect(run);
    }
  }

  #createRun(task: Task, worker: Worker, number: number, phase: RunPhase): Run {
    const startedAt = this.#deps.clock.now();
    return createRun({ task, worker, number, phase, startedAt });
  }

  async #sendStart(run: Run, ticket: string | undefined): Promise<void> {
    const { workers, clock, epoch, counters, place } = this.#deps;
    const { task, worker, number } = run;
    const sentAt = clock.now();
    const leaseEndMs = worker.lease(LEASE_MS, sentAt);
    if (leaseEndMs === undefined) {
      this.#requeueUnbegun(run);
      return;
    }
    this.#startWindow.open();
    const reply = await workers.start(worker.record, {
      task: task.name,
      run: number,
      payload: task.step.job.spec.payload,
      leaseEndMs,
      fencingToken: epoch,
      checkpoint: task.checkpoint,
      ticket,
    });
    counters.count('starts', reply.answer);
    const now = clock.now();
    if (reply.answer === OrderAnswer.NoAnswer) this.#startWindow.closeUnanswered(now);
    else this.#startWindow.closeAnswered(now - sentAt, now);
    if (this.#startWindow.takeReopened()) place();
    this.#handleStartReply(run, reply, ticket);
  }

  #handleStartReply(run: Run, reply: OrderReply, ticket: string | undefined): void {
    const { clock, log, counters } = this.#deps;
    const { task, worker, number } = run;
    if (!runsOf(task).includes(run)) return;
    const { job } = task.step;
    const now = clock.now();
    if (reply.workerTimeMs !== undefined) worker.recordClock(reply.workerTimeMs, now);
    if (reply.answer === OrderAnswer.Done) confirmOrder(run, reply, now);
    log.detail('task_start', {
      job: job.spec.id,
      task: task.name,
      run: number,
      worker: worker.record.id,
      answer: reply.answer,
      took_ms: Math.round(now - run.startedAt),
      fence: this.#deps.epoch,
    });
    switch (reply.answer) {
      case OrderAnswer.Done:
        task.tooOldRejections = 0;
        if (run.isCopy) task.hadCopy = true;
        if (job.state === JobState.Queued) {
          job.state = JobState.Running;
          counters.observe('job_start_wait_ms', now - job.acceptedAt);
        }
        if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
        else void this.#sendStop(run);
        return;
      case OrderAnswer.NoAnswer:
        worker.avoidUntil = now + UNANSWERED_PAUSE_MS;
        run.phase = RunPhase.Unconfirmed;
        this.stop(run, 'start_unanswered');
        break;
      case OrderAnswer.Fenced:
        this.handleFenced(worker);
        return;
      case OrderAnswer.RunTooOld:
        this.#skipRunNumbers(task, number, now);
        this.#requeue(run);
        break;
      case OrderAnswer.NoRoom:
        worker.avoidUntil = now + NO_CAPACITY_PAUSE_MS;
        this.#requeueUnbegun(run);
        break;
      case OrderAnswer.Unhealthy:
        worker.avoidUntil = now + UNHEALTHY_PAUSE_MS;
        this.#requeueUnbegun(run);
        break;
      case OrderAnswer.Malformed:
        task.notBefore = now + UNHEALTHY_PAUSE_MS;
        this.#requeue(run);
        break;
      case OrderAnswer.OtherInstance:
        this.handleGone(worker, 'address_reused');
        break;
      case OrderAnswer.LeaseInPast:
        worker.avoidUntil = now + REJECTED_PAUSE_MS;
        this.#requeueUnbegun(run);
        break;
      case OrderAnswer.TicketRefused:
        task.notBefore = now + REJECTED_PAUSE_MS;
        if (ticket !== undefined) {
          this.#deps.discardTicket(task.step, worker.record.id, ticket);
        }
        this.#requeueUnbegun(run);
        break;
    }
    this.#stopIncompleteGang(task);
  }

  /** Stops the remaining runs of a gang after one of its tasks could not be started. */
  #stopIncompleteGang({ step }: Task): void {
    if (!step.spec.isGang) return;
    for (const { run } of step.tasks) if (run) this.stop(run, 'gang_incomplete');
  }

  #skipRunNumbers(task: Task, number: number, now: number): void {
    const factor = 2 ** task.tooOldRejections++;
    task.nextRun = Math.max(task.nextRun, number + Math.min(MAX_RUN_NUMBER_STEP, factor));
    task.notBefore = now + Math.min(RUN_TOO_OLD_PAUSE_MAX_MS, RUN_TOO_OLD_PAUSE_MS * factor);
  }

  /** Requeues a run that the worker certainly has not begun; its number can be used again. */
  #requeueUnbegun(run: Run): void {
    const { task, number } = run;
    if (task.nextRun === number + 1) task.nextRun = number;
    this.#requeue(run);
  }

  #requeue(run: Run, copyEnd = CopyEnd.NotStarted): void {
    if (run.isCopy) recordCopyEnd(run, copyEnd, this.#records);
    this.#detach(run);
    this.#deps.place();
  }

  /** Reserves the resources of a run, on its worker and within the limit of its account. */
  #reserve(run: Run): void {
    const { step } = run.task;
    const { account } = step.job.spec;
    run.worker.add(run);
    if (account !== undefined) this.#deps.budget.addRun(account, step.spec, run.isAdopted);
  }

  #detach(run: Run): void {
    const { task, worker } = run;
    const isReserved = worker.runs.get(task.name) === run;
    worker.remove(run);
    const { account } = task.step.job.spec;
    if (isReserved && account !== undefined) {
      this.#deps.budget.removeRun(account, task.step.spec, run.isAdopted);
    }
    task.step.job.detach(task, run);
  }

  /** Handles a worker's rejection of an order because it has seen a higher fencing token. */
  handleFenced(worker: Worker): void {
    if (this.#isFenced) return;
    this.#isFenced = true;
    this.#deps.lose(`worker ${worker.record.id} has seen a higher fencing token`);
  }

  /** Stops a run. Its resources are released once the worker reports its end. */
  stop(run: Run, reason: string): void {
    if (run.phase === RunPhase.Stopping) return;
    const isStarting = run.phase === RunPhase.Starting;
    run.phase = RunPhase.Stopping;
    this.#deps.counters.count('stops', reason);
    this.#deps.log.detail('task_stop', {
      job: run.task.step.job.spec.id,
      task: run.task.name,
      run: run.number,
      worker: run.worker.record.id,
      reason,
    });
    // For a run that is still starting, the stop is sent after the reply to the start order.
    if (!isStarting) void this.#sendStop(run);
  }

  /** Stops all runs of a job. */
  stopAll(job: Job, reason: string): void {
    for (const task of job.tasks()) for (const run of runsOf(task)) this.stop(run, reason);
  }

  async #sendStop(run: Run): Promise<void> {
    const { workers, clock, epoch } = this.#deps;
    const { task, worker, number } = run;
    if (run.isStopSent) return;
    run.isStopSent = true;
    while (worker.runs.get(task.name) === run && !worker.isGone && !this.#isFenced) {
      const order = { task: task.name, run: number, fencingToken: epoch };
      const reply = await workers.stop(worker.record, order);
      if (reply.answer === OrderAnswer.Fenced) {
        this.handleFenced(worker);
        return;
      }
      if (reply.answer === OrderAnswer.OtherInstance) {
        this.handleGone(worker, 'address_reused');
        return;
      }
      if (reply.workerTimeMs !== undefined && reply.answer !== OrderAnswer.Unhealthy) {
        confirmOrder(run, reply, clock.now());
        return;
      }
      this.#deps.counters.count('order_retries', `stop_${reply.answer}`);
      await clock.sleep(STOP_RETRY_MS);
    }
  }

  /** Applies the end of a run as reported by a worker. */
  applyEnd(worker: Worker, ended: ListedEnd): void {
    const { jobs, log, place } = this.#deps;
    const run = worker.runs.get(ended.task);
    const isCurrent = run?.number === ended.run;
    if (run && isCurrent) {
      this.#runHealth.recordEnd(run, ended.end);
      if (run.isCopy) recordCopyEnd(run, copyEndOf(run, ended.end), this.#records);
      this.#detach(run);
      if (run.task.step.job.finalState) this.#holdAcknowledgement(worker, run.task);
      if (ended.end === RunEnd.Done) recordRunTime(run, this.#records);
    }
    const address = parseTaskName(ended.task);
    const job = address && jobs.get(address.job);
    log.detail('task_end', {
      job: address?.job,
      task: ended.task,
      run: ended.run,
      worker: worker.record.id,
      end: ended.end,
      ran_ms: run && isCurrent ? Math.round(this.#deps.clock.now() - run.startedAt) : undefined,
    });
    this.#deps.counters.count('task_ends', ended.end);
    if (!job || job.finalState) return;
    const task = job.task(address.occurrence, address.step, address.index);
    if (!task) return;
    task.nextRun = Math.max(task.nextRun, ended.run + 1);
    const isBehind = run?.isCopy === true && task.run !== undefined;
    if (ended.checkpoint !== '' && !isBehind) task.checkpoint = ended.checkpoint;
    if (ended.end === RunEnd.Done) this.#applyDone(worker, task);
    if (ended.end === RunEnd.Failed) this.#applyFailure(worker, task, ended.run);
    place();
  }

  /** The state of a worker as input for its judgement. */
  judgedWorker(worker: Worker): JudgedWorker {
    return this.#runHealth.judgedWorker(worker);
  }

  #applyDone(worker: Worker, task: Task): void {
    worker.consecutiveFailures = 0;
    const { step } = task;
    if (step.spec.isLasting) return;
    const { job } = step;
    for (const member of step.spec.isGang ? step.tasks : [task]) {
      if (!member.isDone) this.#deps.onTaskDone(member);
      job.complete(member);
      if (step.spec.isGang) continue;
      for (const run of runsOf(member)) this.stop(run, 'done_elsewhere');
    }
    if (job.isComplete) void this.#deps.jobs.close(job, JobState.Succeeded);
    else this.#deps.jobs.markDirty(job);
    this.#holdAcknowledgement(worker, task);
  }

  /** Lets the ends on a worker wait while a run of a task that is over may still start elsewhere. */
  #holdAcknowledgement(worker: Worker, task: Task): void {
    if (this.#mayStillStart(task)) worker.unsettledTasks.push(task);
  }

  /** Whether a run of a task may still start because of an order that was sent before. */
  #mayStillStart(task: Task): boolean {
    const { spec, job } = task.step;
    if (!mayHaveCopies(spec)) return false;
    const now = this.#deps.clock.now();
    const isOpen = ({ lastOrderClockMs, startedAt }: Run) =>
      lastOrderClockMs === undefined && now - startedAt < START_ORDER_LIFE_MS;
    const isOrderOpen = now < task.openOrderUntil || runsOf(task).some(isOpen);
    return isOrderOpen || this.#deps.mayHaveUnknownRuns(job);
  }

  /**
   * Whether the ends on a worker may be acknowledged. After the end of a task was acknowledged, none
   * of its runs may start, so an open start order of its other run must have been settled.
   */
  mayAcknowledge(worker: Worker): boolean {
    worker.unsettledTasks = worker.unsettledTasks.filter((task) => this.#mayStillStart(task));
    return worker.unsettledTasks.length === 0;
  }

  #applyFailure(worker: Worker, task: Task, runNumber: number): void {
    const { clock, jobs, maxAttempts } = this.#deps;
    const now = clock.now();
    const isAttributable = this.#runHealth.isAttributable(worker, task);
    if (isAttributable) worker.consecutiveFailures++;
    if (isAttributable && worker.consecutiveFailures >= FAILURES_BEFORE_PAUSE) {
      const doublings = worker.consecutiveFailures - FAILURES_BEFORE_PAUSE;
      worker.avoidUntil = now + Math.min(FAILURE_PAUSE_MAX_MS, FAILURE_PAUSE_MS * 2 ** doublings);
    }
    task.avoid = worker.record.id;
    const { step } = task;
    if (step.spec.isLasting) {
      task.notBefore = now + LASTING_RETRY_MS;
      return;
    }
    // The other run of the task may have ended `done` before.
    if (task.isDone || task.failedRuns.has(runNumber)) return;
    task.failedRuns.add(runNumber);
    const members = step.spec.isGang ? step.tasks : [task];
    // The tasks of a gang share run numbers, so one failed attempt is counted once.
    const failedRuns = new Set(members.flatMap((member) => [...member.failedRuns]));
    const limit = maxAttempts(step.job.spec.queue);
    if (limit !== undefined && failedRuns.size >= limit) {
      void jobs.close(step.job, JobState.Failed);
      this.stopAll(step.job, 'job_failed');
      return;
    }
    jobs.markDirty(step.job);
  }

  /** Reconciles the tracked runs of a worker with those that it reports as running. */
  reconcile(worker: Worker, list: ListedRuns): void {
    const { running, workerTimeMs, hasMoreEnds } = list;
    const listed = new Map(running.map((entry) => [entry.task, entry]));
    for (const run of [...worker.runs.values()]) {
      const entry = listed.get(run.task.name);
      if (entry?.run === run.number) this.#updateRun(run, entry, workerTimeMs);
      else if (!hasMoreEnds && isOlderThan(run, list)) {
        this.#handleLostRun(run, 'not_listed');
      }
    }
    let hasOrphans = false;
    for (const entry of running) {
      if (worker.runs.get(entry.task)?.number === entry.run) continue;
      if (this.#adopt(worker, entry, workerTimeMs)) continue;
      hasOrphans = true;
      void this.#stopOrphan(worker, entry);
    }
    worker.hasOrphans = hasOrphans;
    // The resources that orphans use are unknown, so nothing new is started next to them.
    if (hasOrphans) worker.avoidUntil = this.#deps.clock.now() + STOP_RETRY_MS * 2;
    this.#applyPaces(worker);
  }

  #updateRun(run: Run, entry: ListedRun, workerTimeMs: number): void {
    run.percent = entry.percent;
    run.measurement = entry.measurement;
    // The copy of a run may be behind it.
    if (entry.checkpoint !== '' && run !== run.task.copy) {
      if (entry.checkpoint !== run.task.checkpoint) run.checkpointAt = this.#deps.clock.now();
      run.task.checkpoint = entry.checkpoint;
    }
    if (run.phase === RunPhase.Running) run.lastOrderClockMs ??= workerTimeMs;
  }

  /** Adopts a run that an earlier holder started; returns false if it has to be stopped. */
  #adopt(worker: Worker, entry: ListedRun, workerTimeMs: number): boolean {
    const address = parseTaskName(entry.task);
    const job = address && this.#deps.jobs.get(address.job);
    if (!job || job.finalState) return false;
    const task = job.task(address.occurrence, address.step, address.index);
    if (!task || task.isDone || worker.runs.has(entry.task)) return false;
    if (task.run && !mayAdoptSecond(task)) return false;
    const run = this.#createRun(task, worker, entry.run, RunPhase.Running);
    run.lastOrderClockMs = workerTimeMs;
    run.confirmedAt = this.#deps.clock.now();
    run.isAdopted = true;
    run.isCopy = task.run !== undefined;
    task.hadCopy ||= run.isCopy;
    if (run.isCopy) job.attachCopy(task, run);
    else job.attach(task, run);
    this.#reserve(run);
    job.state = JobState.Running;
    this.#updateRun(run, entry, workerTimeMs);
    this.#deps.counters.count('runs_adopted', 'takeover');
    return true;
  }

  async #stopOrphan(worker: Worker, { task, run }: ListedRun): Promise<void> {
    const { workers, epoch, log, counters } = this.#deps;
    const reply = await workers.stop(worker.record, { task, run, fencingToken: epoch });
    counters.count('stops', 'orphan');
    log.warn('orphan_stopped', { task, run, worker: worker.record.id, answer: reply.answer });
    if (reply.answer === OrderAnswer.Fenced) this.handleFenced(worker);
  }

  #applyPaces(worker: Worker): void {
    const { workers, epoch, log } = this.#deps;
    for (const { run, percent } of choosePaces(worker)) {
      if (run.phase !== RunPhase.Running) continue;
      const { task, number } = run;
      log.detail('task_pace', {
        task: task.name,
        worker: worker.record.id,
        from: run.pace,
        percent,
      });
      run.pace = percent;
      run.isTimed = false;
      const order = { task: task.name, run: number, percent, fencingToken: epoch };
      void workers.pace(worker.record, order).then((reply) => {
        if (reply.answer === OrderAnswer.Fenced) this.handleFenced(worker);
      });
    }
  }

  /** Requeues a run that is over although the worker never reported its end. */
  #handleLostRun(run: Run, reason: string): void {
    const { log, counters } = this.#deps;
    counters.count('runs_lost', reason);
    log.warn('run_lost', {
      job: run.task.step.job.spec.id,
      task: run.task.name,
      run: run.number,
      worker: run.worker.record.id,
      reason,
    });
    run.task.hasLostRun = true;
    // A restarted worker may still get an order that was sent to its predecessor.
    if (run.lastOrderClockMs === undefined) {
      run.task.openOrderUntil = run.startedAt + START_ORDER_LIFE_MS;
    }
    this.#requeue(run, CopyEnd.WorkerLost);
  }

  /** Requeues all runs of a worker on which they are known to have ended. */
  dropRuns(worker: Worker, reason: string): void {
    for (const run of [...worker.runs.values()]) this.#handleLostRun(run, reason);
  }

  /** Handles a worker that no longer exists and whose departure was not planned. */
  handleGone(worker: Worker, reason: string): void {
    worker.isGone = true;
    this.handleCrash(worker, reason);
  }

  /**
   * Requeues the runs of the earlier process of a worker that has restarted: those that were confirmed
   * before the first list of the new process was requested and that this list does not contain. The
   * others were started by the new process, or their start orders may still reach it.
   */
  handleRestart(worker: Worker, { running, workerTimeMs, requestedAt }: ListedRuns): void {
    const listed = new Map(running.map(({ task, run }) => [task, run]));
    const isListed = ({ task, number }: Run) => listed.get(task.name) === number;
    const lost = [...worker.runs.values()].filter(
      (run) => !isListed(run) && isConfirmedBefore(run, requestedAt),
    );
    this.handleCrash(worker, 'worker_restarted', lost);
    for (const run of worker.runs.values()) {
      if (isListed(run)) run.lastOrderClockMs = workerTimeMs;
      else delete run.lastOrderClockMs;
    }
    worker.resetClock();
    worker.hasRestarted = false;
  }

  /**
   * Requeues the runs of a worker whose process has ended. Unless that was planned, the crash is
   * counted for the tasks that ran there, and tasks that have caused several are given up.
   *
   * @param lost - the runs that have ended with the process; by default all that are tracked
   */
  handleCrash(worker: Worker, reason: string, lost: Run[] = [...worker.runs.values()]): void {
    const runs = [...worker.lapsedRuns, ...lost];
    worker.lapsedRuns = [];
    for (const run of lost) this.#handleLostRun(run, reason);
    if (runs.length === 0 || worker.isVacating || worker.record.isDraining) return;
    const roles = attributeCrash(runs, worker.lastContactAt);
    const possibleCauses = runs.filter((run) => roles.get(run) !== CrashRole.Bystander);
    this.#deps.counters.count('worker_crashes', reason);
    this.#deps.log.warn('worker_crashed', {
      worker: worker.record.id,
      reason,
      runs: runs.length,
      suspects: possibleCauses.length,
      tasks: possibleCauses
        .slice(0, MAX_LOGGED_SUSPECTS)
        .map(({ task }) => task.name)
        .join(','),
      silent_ms: Math.round(this.#deps.clock.now() - worker.lastContactAt),
    });
    for (const [run, role] of roles) this.#countCrash(run, role);
  }

  #countCrash(run: Run, role: CrashRole): void {
    const { jobs, log, counters } = this.#deps;
    const { task } = run;
    const { job } = task.step;
    if (task.isDone || job.finalState) return;
    addCrash(run, role);
    if (!isGivenUp(task)) {
      jobs.markDirty(job);
      return;
    }
    counters.count('tasks_given_up', 'worker_crashes');
    log.warn('task_given_up', {
      job: job.spec.id,
      task: task.name,
      crashes: [...(task.crashes ?? [])].map(([number, its]) => `${number}:${its}`).join(','),
    });
    void jobs.close(job, JobState.Failed);
    this.stopAll(job, 'job_failed');
  }

  /** Marks a worker that was ended by planned work as permanently gone and requeues its runs. */
  dropWorker(worker: Worker, reason: string): void {
    worker.isGone = true;
    this.dropRuns(worker, reason);
  }
}

/** Whether the second run of a task that an earlier holder started may go on. */
function mayAdoptSecond({ step, run, copy }: Task): boolean {
  // Beside a run of this holder, the other one is what it took for lost.
  return mayHaveCopies(step.spec) && run?.isAdopted === true && !copy;
}

/** Records that a worker has carried out an order for a run. */
function confirmOrder(run: Run, { workerTimeMs }: OrderReply, now: number): void {
  run.confirmedAt = now;
  // An earlier reading than the last one may be that of a new process, whose lists have another clock.
  if (workerTimeMs !== undefined && run.worker.isClockPlausible(workerTimeMs))
    run.lastOrderClockMs = workerTimeMs;
}

/** Whether the last order for a run was confirmed before a list was requested. */
function isConfirmedBefore({ confirmedAt }: Run, requestedAt: number): boolean {
  return confirmedAt !== undefined && confirmedAt < requestedAt;
}

/** Whether the last order for a run was carried out before a list was created. */
function isOlderThan(run: Run, { workerTimeMs, requestedAt }: ListedRuns): boolean {
  const { lastOrderClockMs } = run;
  if (isConfirmedBefore(run, requestedAt)) return true;
  return lastOrderClockMs !== undefined && lastOrderClockMs < workerTimeMs;
}
