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
import type { BusyMeter, Clock, Timer } from '../../clock/index.js';

/** Longest lease that a worker grants, in milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Maximum number of ends in one answer. */
const MAX_LISTED_ENDS = 500;
/** Time until a worker answers a call. */
const ANSWER_DELAY_MS = 1;
/** Time after which a caller gives up on an answer. */
const NO_ANSWER_TIMEOUT_MS = 500;

/** How long a task runs and how it ends. With an infinite `runMs` it runs until it is stopped. */
export interface TaskScript {
  runMs: number;
  end?: RunEnd;
  /** Whether the run crashes its worker instead of ending. */
  crashesWorker?: boolean;
}

interface ActiveRun {
  task: string;
  run: number;
  startedAt: number;
  timer?: Timer;
  /** Whether a stop order has arrived; repeated orders do not delay its end. */
  isStopping?: boolean;
}

/** A run that a worker started, as recorded for the checks. */
export interface ObservedRun {
  task: string;
  run: number;
  worker: string;
  startedAt: number;
  endedAt?: number;
  end?: RunEnd;
  /** When the holder acknowledged its end. */
  acknowledgedAt?: number;
}

/** Options for {@link FakeExecutor}. */
export interface FakeExecutorOptions {
  id: string;
  service: string;
  capacity: Resources;
  labels?: string[];
}

/** A fake worker that implements the platform's documented rules for orders, leases and lists. */
export class FakeExecutor {
  record: WorkerRecord;
  isUp = true;
  /** Rejects all orders as unhealthy. */
  isUnhealthy = false;
  /** Whether the advice service lets it run steps. */
  isApproved = true;
  /** Rejects starts without the ticket for its current life. */
  requiresTicket = false;
  /** Rejects all starts with this answer. */
  startRejection: OrderAnswer | undefined;
  /** Number of start orders that reached it. */
  startCalls = 0;
  /** Executes orders but does not answer. */
  dropsAnswers = false;
  /** While it is down, refuses connections, so that calls fail at once. */
  refusesConnections = false;
  /** Whether another worker answers at its address. */
  isReplaced = false;
  /** Number of hold calls that were sent to it. */
  holdCalls = 0;
  /** Delay in milliseconds between the creation of an answer to a hold call and its arrival. */
  holdAnswerDelayMs = 0;
  /** Number of answers to hold calls that have been created and have not arrived. */
  holdAnswersInTransit = 0;
  /** If positive, orders are executed after this delay in milliseconds and not answered. */
  unansweredDelayMs = 0;
  readonly observedRuns: ObservedRun[] = [];
  readonly #fleet: FakeExecutors;
  readonly #runs = new Map<string, ActiveRun>();
  readonly #lastEndedRuns = new Map<string, number>();
  #unacknowledgedEnds: ListedEnd[] = [];
  #lastEndNumber = 0;
  #maxFencingToken = 0;
  #leaseEndsAt = 0;
  #leaseTimer: Timer | undefined;
  #bornAt: number;
  #waiters = new Set<() => void>();
  /** Number of crashes; tells calls of an ended process from those of the current one. */
  #incarnation = 0;

  constructor(fleet: FakeExecutors, options: FakeExecutorOptions) {
    this.#fleet = fleet;
    this.#bornAt = fleet.clock.now();
    const bornMs = fleet.clock.wallTime() + 1;
    const { id, service, capacity, labels = [] } = options;
    const address = `10.0.0.1:${fleet.size + 1}`;
    const location = { address, zone: 'zone-a', isDraining: false };
    this.record = { id, service, capacity, labels, bornMs, ...location };
  }

  get workerTimeMs(): number {
    return Math.floor(this.#fleet.clock.now() - this.#bornAt) + 1_000;
  }

  /** The ticket that is valid for its current life. */
  get ticket(): string {
    return String(this.record.bornMs);
  }

  get running(): string[] {
    return [...this.#runs.keys()];
  }

  /** Ends the process; all runs and all state are lost. */
  crash(): void {
    this.isUp = false;
    this.#incarnation++;
    for (const wake of this.#waiters) wake();
    for (const run of [...this.#runs.values()]) this.#end(run, undefined);
    this.#unacknowledgedEnds = [];
    this.#lastEndNumber = 0;
    this.#maxFencingToken = 0;
    this.#lastEndedRuns.clear();
  }

  /** Starts the process again under the same id, without its former state. */
  restart(): void {
    this.isUp = true;
    this.refusesConnections = false;
    this.#bornAt = this.#fleet.clock.now();
    this.record = { ...this.record, bornMs: this.#fleet.clock.wallTime() + 1 };
  }

  #extendLease(leaseEndMs: number): void {
    const { clock } = this.#fleet;
    this.#leaseEndsAt = Math.max(
      this.#leaseEndsAt,
      Math.min(leaseEndMs, this.workerTimeMs + MAX_LEASE_MS) - this.workerTimeMs + clock.now(),
    );
    this.#leaseTimer?.cancel();
    this.#leaseTimer = clock.setTimer(this.#leaseEndsAt - clock.now(), () => {
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
    this.#lastEndedRuns.set(run.task, Math.max(run.run, this.#lastEndedRuns.get(run.task) ?? 0));
    const number = ++this.#lastEndNumber;
    this.#unacknowledgedEnds.push({ number, task: run.task, run: run.run, end, checkpoint: '' });
    for (const wake of this.#waiters) wake();
  }

  start(order: Parameters<WorkerClient['start']>[1]): OrderReply {
    const { workerTimeMs } = this;
    const { task, run, leaseEndMs, fencingToken } = order;
    if (fencingToken < this.#maxFencingToken) return { answer: OrderAnswer.Fenced, workerTimeMs };
    this.#maxFencingToken = fencingToken;
    this.startCalls++;
    if (this.startRejection) return { answer: this.startRejection, workerTimeMs };
    if (this.requiresTicket && order.ticket !== this.ticket) {
      return { answer: OrderAnswer.TicketRefused, workerTimeMs };
    }
    if (leaseEndMs <= workerTimeMs) return { answer: OrderAnswer.LeaseInPast, workerTimeMs };
    if (this.#runs.get(task)?.run === run) return { answer: OrderAnswer.Done, workerTimeMs };
    if (run <= (this.#lastEndedRuns.get(task) ?? 0) || this.#runs.has(task)) {
      return { answer: OrderAnswer.RunTooOld, workerTimeMs };
    }
    this.#extendLease(leaseEndMs);
    const active: ActiveRun = { task, run, startedAt: this.#fleet.clock.now() };
    this.#runs.set(task, active);
    const { id } = this.record;
    this.observedRuns.push({ task, run, worker: id, startedAt: active.startedAt });
    const script = this.#fleet.script(task, run, id);
    if (Number.isFinite(script.runMs)) {
      active.timer = this.#fleet.clock.setTimer(script.runMs, () => {
        if (script.crashesWorker === true) this.#fleet.crash(this);
        else this.#end(active, script.end ?? RunEnd.Done);
      });
    }
    return { answer: OrderAnswer.Done, workerTimeMs };
  }

  stop({ task, run, fencingToken }: Parameters<WorkerClient['stop']>[1]): OrderReply {
    const { workerTimeMs } = this;
    if (fencingToken < this.#maxFencingToken) return { answer: OrderAnswer.Fenced, workerTimeMs };
    this.#maxFencingToken = fencingToken;
    const active = this.#runs.get(task);
    if (active?.run === run && this.#fleet.stopMs === 0) this.#end(active, RunEnd.Stopped);
    else if (active?.run === run && active.isStopping !== true) {
      active.isStopping = true;
      active.timer?.cancel();
      active.timer = this.#fleet.clock.setTimer(this.#fleet.stopMs, () => {
        if (this.#runs.get(task) === active) this.#end(active, RunEnd.Stopped);
      });
    }
    this.#lastEndedRuns.set(task, Math.max(run, this.#lastEndedRuns.get(task) ?? 0));
    return { answer: OrderAnswer.Done, workerTimeMs };
  }

  async hold(order: Parameters<WorkerClient['hold']>[1]): Promise<HoldReply> {
    const incarnation = this.#incarnation;
    if (order.fencingToken < this.#maxFencingToken)
      return { isListed: false, answer: OrderAnswer.Fenced };
    this.#maxFencingToken = order.fencingToken;
    for (const { number, task, run } of this.#unacknowledgedEnds) {
      if (number > order.lastAcknowledgedEnd) continue;
      const seen = this.observedRuns.find((entry) => entry.task === task && entry.run === run);
      if (seen) seen.acknowledgedAt = this.#fleet.clock.now();
    }
    this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(
      ({ number }) => number > order.lastAcknowledgedEnd,
    );
    if (order.leaseEndMs !== undefined && order.leaseEndMs > this.workerTimeMs)
      this.#extendLease(order.leaseEndMs);
    if (this.#unacknowledgedEnds.length === 0 && order.waitMs > 0) {
      const wait = new AbortController();
      const wake = () => {
        wait.abort();
      };
      this.#waiters.add(wake);
      await this.#fleet.clock.sleep(order.waitMs, wait.signal);
      this.#waiters.delete(wake);
      // The crash of a worker resets the connections of its callers.
      if (incarnation !== this.#incarnation) {
        return { isListed: false, answer: OrderAnswer.NoAnswer };
      }
    }
    // Newest first, because callers must not rely on the order of the list.
    const runs = [...this.#runs.values()].reverse();
    const running = runs.map(({ task, run, startedAt }) => {
      const percent = this.#fleet.clock.now() - startedAt >= this.#fleet.startupMs ? 100 : 50;
      return { task, run, checkpoint: '', percent, measurement: 0 };
    });
    const { workerTimeMs } = this;
    const ended = this.#unacknowledgedEnds.slice(0, MAX_LISTED_ENDS);
    const hasMoreEnds = this.#unacknowledgedEnds.length > ended.length;
    return {
      isListed: true,
      workerTimeMs,
      bornMs: this.record.bornMs,
      running,
      ended,
      hasMoreEnds,
    };
  }
}

/** The fake workers of a test, with the faults between nodes and workers. */
export class FakeExecutors {
  readonly clock: Clock;
  readonly executors = new Map<string, FakeExecutor>();
  /** Time in milliseconds from the start of a run until it reports 100 percent. */
  startupMs = 100;
  /** Time in milliseconds from a stop order to the end of the run. */
  stopMs = 0;
  /** Chooses how long a run takes and how it ends. */
  script: (task: string, run: number, worker: string) => TaskScript = () => ({ runMs: 500 });
  /** Time that a node needs to send one order, in milliseconds; orders wait for each other. */
  orderSendMs = 0;
  /** Time that a node needs to read one list of runs, in milliseconds; also waits for orders. */
  listReadMs = 0;
  /** Number of lists of runs that nodes have read. */
  listCount = 0;
  /** Milliseconds of work for calls that each node was given. */
  readonly #workMs = new Map<string, number>();
  /** Called when a run has crashed its worker; must start the worker again. */
  onCrash: (executor: FakeExecutor) => void = () => undefined;
  /** Number of crashes that runs have caused. */
  crashCount = 0;
  /** Pairs `node>worker` whose calls are lost. */
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

  /** Crashes a worker because of one of its runs. */
  crash(executor: FakeExecutor): void {
    this.crashCount++;
    executor.crash();
    executor.refusesConnections = true;
    this.onCrash(executor);
  }

  /** Returns all runs that were started, including ended ones. */
  runs(): ObservedRun[] {
    return [...this.executors.values()].flatMap(({ observedRuns }) => observedRuns);
  }

  /** Creates a meter of the share of time in which a node works on calls to the workers. */
  createBusyMeter(node: string): BusyMeter {
    let last = { at: this.clock.now(), workMs: 0 };
    return () => {
      const current = { at: this.clock.now(), workMs: this.#workMs.get(node) ?? 0 };
      const elapsedMs = Math.max(1, current.at - last.at);
      const share = (current.workMs - last.workMs) / elapsedMs;
      last = current;
      return Math.min(1, share);
    };
  }

  /** Creates the client through which one node calls the workers. */
  clientOf(node: string): WorkerClient {
    let isBusyUntil = 0;
    /** Adds work to what the node does one after the other; returns the time until it is done. */
    const addWork = (workMs: number): number => {
      const now = this.clock.now();
      isBusyUntil = Math.max(now, isBusyUntil) + workMs;
      this.#workMs.set(node, (this.#workMs.get(node) ?? 0) + workMs);
      return isBusyUntil - now;
    };
    /** Waits until an order is sent; returns false if the caller gives up first. */
    const send = async (deliver: () => void): Promise<boolean> => {
      if (this.orderSendMs === 0) return true;
      const waitMs = addWork(this.orderSendMs);
      if (waitMs > NO_ANSWER_TIMEOUT_MS) this.clock.setTimer(waitMs, deliver);
      await this.clock.sleep(Math.min(waitMs, NO_ANSWER_TIMEOUT_MS));
      return waitMs <= NO_ANSWER_TIMEOUT_MS;
    };
    const order = async (
      id: string,
      execute: (executor: FakeExecutor) => OrderReply,
    ): Promise<OrderReply> => {
      const executor = this.executors.get(id);
      if (executor?.isReplaced) return { answer: OrderAnswer.OtherInstance };
      if (!executor?.isUp || this.cuts.has(`${node}>${id}`)) {
        await this.clock.sleep(NO_ANSWER_TIMEOUT_MS);
        return { answer: OrderAnswer.NoAnswer };
      }
      if (executor.unansweredDelayMs > 0) {
        this.clock.setTimer(executor.unansweredDelayMs, () => {
          if (executor.isUp) execute(executor);
        });
        await this.clock.sleep(NO_ANSWER_TIMEOUT_MS);
        return { answer: OrderAnswer.NoAnswer };
      }
      const isSent = await send(() => {
        if (executor.isUp) execute(executor);
      });
      if (!isSent) return { answer: OrderAnswer.NoAnswer };
      await this.clock.sleep(ANSWER_DELAY_MS);
      if (executor.isUnhealthy) return { answer: OrderAnswer.Unhealthy };
      const reply = execute(executor);
      if (!executor.dropsAnswers) return reply;
      await this.clock.sleep(NO_ANSWER_TIMEOUT_MS);
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
        if (executor) executor.holdCalls++;
        if (executor?.isReplaced) {
          await this.clock.sleep(ANSWER_DELAY_MS);
          return { isListed: false, answer: OrderAnswer.OtherInstance };
        }
        if (executor?.isUp === false && executor.refusesConnections) {
          await this.clock.sleep(ANSWER_DELAY_MS);
          return { isListed: false, answer: OrderAnswer.NoAnswer };
        }
        if (!executor?.isUp || isCut() || executor.dropsAnswers) {
          await this.clock.sleep(NO_ANSWER_TIMEOUT_MS + hold.waitMs);
          return { isListed: false, answer: OrderAnswer.NoAnswer };
        }
        await this.clock.sleep(ANSWER_DELAY_MS);
        const reply = await executor.hold(hold);
        executor.holdAnswersInTransit++;
        await this.clock.sleep(ANSWER_DELAY_MS + executor.holdAnswerDelayMs);
        executor.holdAnswersInTransit--;
        this.listCount++;
        if (this.listReadMs > 0) await this.clock.sleep(addWork(this.listReadMs));
        return isCut() ? { isListed: false, answer: OrderAnswer.NoAnswer } : reply;
      },
    };
  }
}
