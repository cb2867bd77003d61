import { createHash } from 'node:crypto';
import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import {
  PlatformError,
  PlatformErrorCode,
  TaskState,
  type TaskSpec,
  type TaskStatus,
  type WorkerReport,
} from '../platform/index.js';

/** Payload of a task that a fake worker runs by waiting. */
export interface TimedWork {
  /** Run time in milliseconds at full speed; a task without it runs until it is stopped. */
  runMs?: number;
  /** Text of the result; the task id by default. */
  result?: string;
  /** If set, the task fails with this message at the end of its run time. */
  fail?: string;
  /** Actual usage, reported instead of the declared resources once `usageLagMs` has passed. */
  coresUsed?: number;
  memoryUsedMib?: number;
}

/** Faults of one fake worker; may be changed while it is in use. */
export interface WorkerFaults {
  /** Every task fails when it is started. */
  failAll: boolean;
  /** Calls fail as unreachable; tasks and lease timers keep running. */
  cutOff: boolean;
  /** Factor on run times; values above 1 produce stragglers. */
  slowdown: number;
  /** Tasks keep running after their lease has expired, as on a worker that was paused. */
  ignoreLeases: boolean;
  /** New tasks are refused, as on a draining worker. */
  refuseStarts: boolean;
}

interface Execution {
  spec: TaskSpec;
  status: TaskStatus;
  work: TimedWork;
  /** Work remaining at time `since`, in milliseconds at full speed. */
  remainingMs: number;
  since: number;
  /** Work done per millisecond. */
  speed: number;
  finish?: Timer;
  lease?: Timer;
  usage?: Timer;
}

interface Worker {
  incarnation: string;
  executions: Map<string, Execution>;
  /** Largest epoch received per job. */
  epochs: Map<string, number>;
  /** Ids of tasks that were stopped before they were started. */
  fenced: Set<string>;
  faults: WorkerFaults;
}

type Outcome = Result<void, PlatformError>;
const success: Outcome = Result.ok(undefined);

/** Fake workers that run timed tasks and enforce leases and epochs, on the given clock. */
export class FakeWorkers {
  readonly tasks = new Map<string, TaskStatus[]>();
  /** Called when a task is started; lets a test count duplicate starts. */
  onStart: ((vm: string, task: TaskSpec) => void) | undefined;
  /** Time from the start of a task until its actual usage is reported, in milliseconds. */
  usageLagMs = 1_000;
  readonly #workers = new Map<string, Worker>();
  #incarnations = 0;
  readonly #clock: Clock;
  readonly #objects: Map<string, Uint8Array>;

  constructor(clock: Clock, objects: Map<string, Uint8Array>) {
    this.#clock = clock;
    this.#objects = objects;
  }

  /** Returns the faults of a worker, which is created on first use. */
  faults(vm: string): WorkerFaults {
    return this.#worker(vm).faults;
  }

  start(vm: string, spec: TaskSpec): Outcome {
    const worker = this.#worker(vm);
    if (worker.faults.cutOff) return unreachable(vm);
    if (spec.incarnation !== undefined && spec.incarnation !== worker.incarnation) {
      const message = `worker ${vm} is ${worker.incarnation}, expected ${spec.incarnation}`;
      return Result.err(new PlatformError(PlatformErrorCode.OtherIncarnation, message));
    }
    if (worker.executions.has(spec.id)) return success;
    if (worker.fenced.has(spec.id)) return refused(`task ${spec.id} was stopped before it started`);
    if (worker.faults.refuseStarts) return refused(`worker ${vm} accepts no new tasks`);
    const epoch = worker.epochs.get(spec.jobId) ?? 0;
    if (spec.epoch < epoch) {
      return refused(`epoch ${spec.epoch} of job ${spec.jobId} is older than ${epoch}`);
    }
    worker.epochs.set(spec.jobId, spec.epoch);
    this.onStart?.(vm, spec);
    const work = (spec.payload ?? {}) as TimedWork;
    const execution: Execution = {
      spec,
      status: startedStatus(spec),
      work,
      remainingMs: this.#remainingMs(spec, work),
      since: this.#clock.now(),
      speed: 1 / worker.faults.slowdown,
    };
    worker.executions.set(spec.id, execution);
    this.tasks.set(vm, [...(this.tasks.get(vm) ?? []), execution.status]);
    if (worker.faults.failAll) {
      this.#end(execution, TaskState.Failed, 'injected failure of the worker');
      return success;
    }
    this.#setLease(worker, execution, spec.leaseMs);
    this.#setFinish(execution);
    execution.usage = this.#clock.setTimer(this.usageLagMs, () => {
      execution.status.coresUsed = work.coresUsed ?? spec.cores;
      execution.status.memoryUsedMib = work.memoryUsedMib ?? spec.memoryMib;
    });
    return success;
  }

  renew(vm: string, taskId: string, epoch: number, leaseMs: number): Outcome {
    return this.#withRunning(vm, taskId, (execution, worker) => {
      if (execution.spec.epoch !== epoch) return refused(`task ${taskId} runs under another epoch`);
      this.#setLease(worker, execution, leaseMs);
      return success;
    });
  }

  checkpoint(vm: string, taskId: string): Outcome {
    return this.#withRunning(vm, taskId, (execution) => {
      const key = `checkpoint/${taskId}`;
      const text = JSON.stringify({ remainingMs: this.#updateRemainingWork(execution) });
      this.#objects.set(key, new TextEncoder().encode(text));
      execution.status.checkpoint = key;
      this.#end(execution, TaskState.Checkpointed);
      return success;
    });
  }

  throttle(vm: string, taskId: string, share: number): Outcome {
    return this.#withRunning(vm, taskId, (execution, worker) => {
      this.#updateRemainingWork(execution);
      execution.speed = share / worker.faults.slowdown;
      this.#setFinish(execution);
      return success;
    });
  }

  stop(vm: string, taskId: string): Outcome {
    const worker = this.#worker(vm);
    if (worker.faults.cutOff) return unreachable(vm);
    const execution = worker.executions.get(taskId);
    if (!execution) worker.fenced.add(taskId);
    else if (execution.status.state === TaskState.Running) this.#end(execution, TaskState.Stopped);
    return success;
  }

  report(vm: string): Result<WorkerReport, PlatformError> {
    const worker = this.#worker(vm);
    if (worker.faults.cutOff) return Result.err(unreachableError(vm));
    const tasks = structuredClone(this.tasks.get(vm) ?? []);
    return Result.ok({ incarnation: worker.incarnation, tasks });
  }

  /** Number of tasks running on a VM. */
  active(vm: string): number {
    return (this.tasks.get(vm) ?? []).filter(({ state }) => state === TaskState.Running).length;
  }

  /** Discards all tasks and state of the worker, as a reboot or replacement does. */
  restart(vm: string): void {
    for (const execution of this.#worker(vm).executions.values()) cancelTimers(execution);
    this.#workers.delete(vm);
    this.tasks.delete(vm);
  }

  #worker(vm: string): Worker {
    const existing = this.#workers.get(vm);
    if (existing) return existing;
    this.#incarnations += 1;
    const worker: Worker = {
      incarnation: `${vm}#${this.#incarnations}`,
      executions: new Map(),
      epochs: new Map(),
      fenced: new Set(),
      faults: {
        failAll: false,
        cutOff: false,
        slowdown: 1,
        ignoreLeases: false,
        refuseStarts: false,
      },
    };
    this.#workers.set(vm, worker);
    return worker;
  }

  #withRunning(
    vm: string,
    taskId: string,
    effect: (execution: Execution, worker: Worker) => Outcome,
  ): Outcome {
    const worker = this.#worker(vm);
    if (worker.faults.cutOff) return unreachable(vm);
    const execution = worker.executions.get(taskId);
    if (execution?.status.state !== TaskState.Running) {
      return refused(`task ${taskId} is not running on ${vm}`);
    }
    return effect(execution, worker);
  }

  #remainingMs(spec: TaskSpec, work: TimedWork): number {
    const saved = spec.checkpoint === undefined ? undefined : this.#objects.get(spec.checkpoint);
    if (!saved) return work.runMs ?? Infinity;
    const state = JSON.parse(new TextDecoder().decode(saved)) as { remainingMs: number | null };
    return state.remainingMs ?? Infinity;
  }

  /** Subtracts the work done since the last update and returns the remaining work. */
  #updateRemainingWork(execution: Execution): number {
    const now = this.#clock.now();
    execution.remainingMs -= (now - execution.since) * execution.speed;
    execution.since = now;
    return execution.remainingMs;
  }

  #setLease(worker: Worker, execution: Execution, leaseMs: number): void {
    execution.lease?.cancel();
    execution.lease = this.#clock.setTimer(leaseMs, () => {
      if (worker.faults.ignoreLeases) return;
      this.#end(execution, TaskState.Stopped, 'lease expired');
    });
  }

  #setFinish(execution: Execution): void {
    execution.finish?.cancel();
    execution.finish = undefined;
    const delayMs = execution.remainingMs / execution.speed;
    if (!Number.isFinite(delayMs)) return;
    execution.finish = this.#clock.setTimer(delayMs, () => {
      this.#finish(execution);
    });
  }

  #finish(execution: Execution): void {
    const { work, spec, status } = execution;
    if (work.fail !== undefined) {
      this.#end(execution, TaskState.Failed, work.fail);
      return;
    }
    const body = new TextEncoder().encode(work.result ?? spec.id);
    this.#objects.set(spec.resultKey, body);
    status.resultBytes = body.length;
    status.resultSha256 = createHash('sha256').update(body).digest('hex');
    this.#end(execution, TaskState.Finished);
  }

  #end(execution: Execution, state: TaskState, error?: string): void {
    cancelTimers(execution);
    execution.status.state = state;
    if (error !== undefined) execution.status.error = error;
  }
}

function cancelTimers(execution: Execution): void {
  execution.finish?.cancel();
  execution.lease?.cancel();
  execution.usage?.cancel();
}

function startedStatus(task: TaskSpec): TaskStatus {
  return {
    id: task.id,
    jobId: task.jobId,
    epoch: task.epoch,
    state: TaskState.Running,
    coresUsed: task.cores,
    memoryUsedMib: task.memoryMib,
    acceleratorsUsed: task.accelerators,
  };
}

function refused(message: string): Outcome {
  return Result.err(new PlatformError(PlatformErrorCode.Refused, message));
}

function unreachableError(vm: string): PlatformError {
  return new PlatformError(PlatformErrorCode.Unreachable, `worker ${vm} does not answer`);
}

function unreachable(vm: string): Outcome {
  return Result.err(unreachableError(vm));
}
