import {
  OrderAnswer,
  RunEnd,
  type HoldReply,
  type ListedEnd,
  type OrderReply,
  type Resources,
  type WorkerClient,
  type WorkerRecord,
} from '../../batch/index.js';
import type { Clock, Timer } from '../../clock/index.js';

/** Longest lease that a worker grants, in milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Time of one answer, and time after which a caller gives up. */
const ANSWER_MS = 1;
const NO_ANSWER_MS = 500;

/** How long a task runs and how it ends; an endless run lasts until it is stopped. */
export interface TaskScript {
  runMs: number;
  end?: RunEnd;
}

interface ActiveRun {
  task: string;
  run: number;
  startedAt: number;
  timer?: Timer;
}

/** One start that a worker carried out, as the checks see it. */
export interface ObservedRun {
  task: string;
  run: number;
  worker: string;
  startedAt: number;
  endedAt?: number;
  end?: RunEnd;
}

/** Options of a {@link FakeExecutor}. */
export interface FakeExecutorOptions {
  id: string;
  service: string;
  capacity: Resources;
  labels?: string[];
}

/** A worker that follows the platform's published rules for orders, leases and lists. */
export class FakeExecutor {
  record: WorkerRecord;
  isUp = true;
  /** Refuses all orders as unhealthy. */
  isUnhealthy = false;
  /** Answers nothing, but carries orders out. */
  dropsAnswers = false;
  /** Delay in milliseconds after which orders are carried out without an answer. */
  unansweredDelayMs = 0;
  readonly observedRuns: ObservedRun[] = [];
  readonly #fleet: FakeExecutors;
  readonly #runs = new Map<string, ActiveRun>();
  readonly #endedRuns = new Map<string, number>();
  #ends: ListedEnd[] = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntil = 0;
  #leaseTimer: Timer | undefined;
  #bornAt: number;
  #wake = new Set<() => void>();

  constructor(fleet: FakeExecutors, options: FakeExecutorOptions) {
    this.#fleet = fleet;
    this.#bornAt = fleet.clock.now();
    const bornMs = fleet.clock.wallTime() + 1;
    const { id, service, capacity, labels = [] } = options;
    const address = `10.0.0.1:${fleet.size + 1}`;
    const place = { address, zone: 'zone-a', isDraining: false };
    this.record = { id, service, capacity, labels, bornMs, ...place };
  }

  get workerTimeMs(): number {
    return Math.floor(this.#fleet.clock.now() - this.#bornAt) + 1_000;
  }

  get running(): string[] {
    return [...this.#runs.keys()];
  }

  /** Ends the process: everything that runs is gone. */
  crash(): void {
    this.isUp = false;
    for (const run of [...this.#runs.values()]) this.#end(run, undefined);
    this.#ends = [];
    this.#lastEnd = 0;
    this.#fence = 0;
    this.#endedRuns.clear();
  }

  /** Starts again under the same id, knowing nothing. */
  restart(): void {
    this.isUp = true;
    this.#bornAt = this.#fleet.clock.now();
    this.record = { ...this.record, bornMs: this.#fleet.clock.wallTime() + 1 };
  }

  #extend(leaseEndMs: number): void {
    const { clock } = this.#fleet;
    this.#leaseUntil = Math.max(
      this.#leaseUntil,
      Math.min(leaseEndMs, this.workerTimeMs + MAX_LEASE_MS) - this.workerTimeMs + clock.now(),
    );
    this.#leaseTimer?.cancel();
    this.#leaseTimer = clock.setTimer(this.#leaseUntil - clock.now(), () => {
      for (const run of [...this.#runs.values()]) this.#end(run, RunEnd.LeaseExpired);
    });
  }

  #end(run: ActiveRun, end: RunEnd | undefined): void {
    run.timer?.cancel();
    this.#runs.delete(run.task);
    const seen = this.observedRuns.findLast(
      (entry) => entry.task === run.task && entry.run === run.run,
    );
    if (seen) Object.assign(seen, { endedAt: this.#fleet.clock.now(), end });
    if (!end) return;
    this.#endedRuns.set(run.task, Math.max(run.run, this.#endedRuns.get(run.task) ?? 0));
    const number = ++this.#lastEnd;
    this.#ends.push({ number, task: run.task, run: run.run, end, checkpoint: '' });
    for (const wake of this.#wake) wake();
  }

  start(order: Parameters<WorkerClient['start']>[1]): OrderReply {
    const { workerTimeMs } = this;
    const { task, run, leaseEndMs, fencingToken } = order;
    if (fencingToken < this.#fence) return { answer: OrderAnswer.Fenced, workerTimeMs };
    this.#fence = fencingToken;
    if (leaseEndMs <= workerTimeMs) return { answer: OrderAnswer.LeaseInPast, workerTimeMs };
    if (this.#runs.get(task)?.run === run) return { answer: OrderAnswer.Done, workerTimeMs };
    if (run <= (this.#endedRuns.get(task) ?? 0) || this.#runs.has(task)) {
      return { answer: OrderAnswer.RunTooOld, workerTimeMs };
    }
    this.#extend(leaseEndMs);
    const active: ActiveRun = { task, run, startedAt: this.#fleet.clock.now() };
    this.#runs.set(task, active);
    const { id } = this.record;
    this.observedRuns.push({ task, run, worker: id, startedAt: active.startedAt });
    const script = this.#fleet.script(task, run, id);
    if (Number.isFinite(script.runMs)) {
      active.timer = this.#fleet.clock.setTimer(script.runMs, () => {
        this.#end(active, script.end ?? RunEnd.Done);
      });
    }
    return { answer: OrderAnswer.Done, workerTimeMs };
  }

  stop({ task, run, fencingToken }: Parameters<WorkerClient['stop']>[1]): OrderReply {
    const { workerTimeMs } = this;
    if (fencingToken < this.#fence) return { answer: OrderAnswer.Fenced, workerTimeMs };
    this.#fence = fencingToken;
    const active = this.#runs.get(task);
    if (active?.run === run && this.#fleet.stopMs === 0) this.#end(active, RunEnd.Stopped);
    else if (active?.run === run) {
      active.timer?.cancel();
      active.timer = this.#fleet.clock.setTimer(this.#fleet.stopMs, () => {
        if (this.#runs.get(task) === active) this.#end(active, RunEnd.Stopped);
      });
    }
    this.#endedRuns.set(task, Math.max(run, this.#endedRuns.get(task) ?? 0));
    return { answer: OrderAnswer.Done, workerTimeMs };
  }

  async hold(order: Parameters<WorkerClient['hold']>[1]): Promise<HoldReply> {
    if (order.fencingToken < this.#fence) return { isListed: false, answer: OrderAnswer.Fenced };
    this.#fence = order.fencingToken;
    this.#ends = this.#ends.filter(({ number }) => number > order.lastAcknowledgedEnd);
    if (order.leaseEndMs !== undefined && order.leaseEndMs > this.workerTimeMs)
      this.#extend(order.leaseEndMs);
    if (this.#ends.length === 0 && order.waitMs > 0) {
      const wait = new AbortController();
      const wake = () => {
        wait.abort();
      };
      this.#wake.add(wake);
      await this.#fleet.clock.sleep(order.waitMs, wait.signal);
      this.#wake.delete(wake);
    }
    // Newest first: the order of the list says nothing.
    const runs = [...this.#runs.values()].reverse();
    const running = runs.map(({ task, run, startedAt }) => {
      const percent = this.#fleet.clock.now() - startedAt >= this.#fleet.startupMs ? 100 : 50;
      return { task, run, checkpoint: '', percent, measurement: 0 };
    });
    const { workerTimeMs } = this;
    const ended = [...this.#ends];
    return { isListed: true, workerTimeMs, bornMs: this.record.bornMs, running, ended };
  }
}

/** The workers of a test. */
export class FakeExecutors {
  readonly clock: Clock;
  readonly executors = new Map<string, FakeExecutor>();
  /** Time in milliseconds until a task is at work. */
  startupMs = 100;
  /** Time in milliseconds that a stop takes. */
  stopMs = 0;
  /** Decides how a run goes. */
  script: (task: string, run: number, worker: string) => TaskScript = () => ({ runMs: 500 });
  /** Pairs `node>worker` whose calls go nowhere. */
  readonly cuts = new Set<string>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  get size(): number {
    return this.executors.size;
  }

  add(options: FakeExecutorOptions): FakeExecutor {
    const executor = new FakeExecutor(this, options);
    this.executors.set(options.id, executor);
    return executor;
  }

  /** All runs that were started. */
  runs(): ObservedRun[] {
    return [...this.executors.values()].flatMap(({ observedRuns }) => observedRuns);
  }

  /** Calls of one node. */
  clientOf(node: string): WorkerClient {
    const order = async (
      id: string,
      carryOut: (executor: FakeExecutor) => OrderReply,
    ): Promise<OrderReply> => {
      const executor = this.executors.get(id);
      if (!executor?.isUp || this.cuts.has(`${node}>${id}`)) {
        await this.clock.sleep(NO_ANSWER_MS);
        return { answer: OrderAnswer.NoAnswer };
      }
      if (executor.unansweredDelayMs > 0) {
        this.clock.setTimer(executor.unansweredDelayMs, () => {
          if (executor.isUp) carryOut(executor);
        });
        await this.clock.sleep(NO_ANSWER_MS);
        return { answer: OrderAnswer.NoAnswer };
      }
      await this.clock.sleep(ANSWER_MS);
      if (executor.isUnhealthy) return { answer: OrderAnswer.Unhealthy };
      const reply = carryOut(executor);
      if (!executor.dropsAnswers) return reply;
      await this.clock.sleep(NO_ANSWER_MS);
      return { answer: OrderAnswer.NoAnswer };
    };
    return {
      start: (worker, start) => order(worker.id, (executor) => executor.start(start)),
      stop: (worker, stop) => order(worker.id, (executor) => executor.stop(stop)),
      pace: (worker) =>
        order(worker.id, ({ workerTimeMs }) => ({ answer: OrderAnswer.Done, workerTimeMs })),
      hold: async (worker, hold) => {
        const executor = this.executors.get(worker.id);
        const isCut = () => this.cuts.has(`${node}>${worker.id}`);
        if (!executor?.isUp || isCut() || executor.dropsAnswers) {
          await this.clock.sleep(NO_ANSWER_MS + hold.waitMs);
          return { isListed: false, answer: OrderAnswer.NoAnswer };
        }
        await this.clock.sleep(ANSWER_MS);
        const reply = await executor.hold(hold);
        await this.clock.sleep(ANSWER_MS);
        return isCut() ? { isListed: false, answer: OrderAnswer.NoAnswer } : reply;
      },
    };
  }
}
