import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import type { Service, Team } from '../configuration/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ServiceLoad } from '../peers/index.js';
import { Admission, type Expectation } from './admission.js';
import type { SchedulingSettings } from './defaults.js';
import { nextClass, schedulingPolicies, type SchedulingPolicy } from './policies.js';
import { RunTimeTable } from './runTimes.js';
import { createSchedulingMetrics, type SchedulingMetrics } from './schedulingMetrics.js';
import { ServiceQueue, type Lane, type WaitingItem } from './serviceQueue.js';
import { isAtRunningQuota, TeamTable, unblockFlows, type TeamUse } from './teamTable.js';
import { SlotTable, type ExecutorState } from './slotTable.js';
import { TimerQueue, type DueEntry } from './timerQueue.js';
import {
  AdmissionError,
  AdmissionReason,
  SizeClass,
  type ChooseExecutor,
  type ExecutorSlots,
  type Scheduler,
  type SlotGrant,
  type WorkItem,
} from './types.js';

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  clock: Clock;
  metrics: Metrics;
  settings: SchedulingSettings;
  /** A service of the configuration in force. */
  service: (id: string) => Service | undefined;
  /** A team of the configuration in force. */
  team: (id: string) => Team | undefined;
  choose: ChooseExecutor;
  /** Whether new work may go to a VM at all; all VMs when absent. */
  usable?: (vm: string) => boolean;
  /** Replaces the policy that the settings name. */
  policy?: SchedulingPolicy;
}

/** Parked items looked at each time slots are offered, so that an offer takes bounded time. */
const PARKED_PER_OFFER = 8;

/** Run time recorded for an item that outlived its class, as a multiple of its run time so far. */
const OUTLIVED_FACTOR = 1.5;

interface RunningItem {
  item: WorkItem;
  team: TeamUse;
  queue: ServiceQueue;
  urgent: boolean;
  sizeClass: SizeClass;
  executor: ExecutorState;
  startedAt: number;
  finishRate: number;
  /** Incomplete run time that was recorded when the item outlived its class. */
  recordedMs: number | undefined;
  arrivedAs: WaitingItem['arrivedAs'];
  /** Whether the item started before the run time of its operation was known. */
  isProbe: boolean;
  outlives: DueEntry<RunningItem> | undefined;
}

/** Creates the scheduler of the executors that this process owns. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return new SlotScheduler(options);
}

class SlotScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #settings: SchedulingSettings;
  readonly #policy: SchedulingPolicy;
  readonly #metrics: SchedulingMetrics;
  readonly #runTimes: RunTimeTable;
  readonly #slots: SlotTable;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #teams = new TeamTable();
  readonly #admission: Admission;
  readonly #expiries: TimerQueue<WaitingItem>;
  readonly #outlived: TimerQueue<RunningItem>;
  readonly #rechecks = new Map<ServiceQueue, Timer>();
  #closed = false;

  constructor(options: SchedulerOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#settings = settings;
    this.#policy = options.policy ?? schedulingPolicies[settings.policy];
    this.#metrics = createSchedulingMetrics(options.metrics);
    this.#slots = new SlotTable(options.usable ?? (() => true));
    this.#runTimes = new RunTimeTable({
      ...settings,
      onEvict: () => {
        this.#metrics.operationEvicted();
      },
    });
    this.#admission = new Admission({
      clock,
      settings,
      policy: this.#policy,
      metrics: this.#metrics,
      runTimes: this.#runTimes,
      slots: this.#slots,
    });
    this.#expiries = new TimerQueue(clock, (waiting) => {
      this.#expire(waiting);
    });
    this.#outlived = new TimerQueue(clock, (running) => {
      this.#demote(running);
    });
  }

  submit(item: WorkItem): Promise<Result<SlotGrant, AdmissionError>> {
    const service = this.#options.service(item.service);
    const quota = this.#options.team(item.team);
    const refusal = this.#checkItem(item);
    if (refusal) return Promise.resolve(Result.err(refusal));
    if (!service) {
      const err = this.#admission.refuse(
        AdmissionReason.UnknownService,
        `no service ${item.service}`,
      );
      return Promise.resolve(Result.err(err));
    }
    if (!quota) {
      const err = this.#admission.refuse(AdmissionReason.UnknownTeam, `no team ${item.team}`);
      return Promise.resolve(Result.err(err));
    }
    const queue = this.#queueOf(service.id);
    const team = this.#teams.get(quota);
    const expected = this.#admission.expect(item.service, item.operation, item.declaredMs);
    const urgent = this.#isUrgent(item, team);
    queue.recordArrival(expected.sizeClass, expected.costMs);
    const overload = this.#admission.check(item, service, queue, team, expected, urgent);
    if (overload) {
      this.#teams.forgetIfIdle(team);
      return Promise.resolve(Result.err(overload));
    }
    return new Promise((resolve) => {
      this.#enqueue(item, queue, team, expected, urgent, resolve);
      this.#offerSlots(queue);
    });
  }

  setExecutors(executors: readonly ExecutorSlots[]): void {
    const before = this.#slots.services();
    this.#slots.setExecutors(executors);
    for (const service of new Set([...before, ...this.#slots.services()])) {
      const queue = this.#queueOf(service);
      this.#refuseUnplaceable(queue);
      this.#offerSlots(queue);
    }
    const owned = new Set(this.#slots.services());
    for (const queue of [...this.#queues.values()]) {
      const isIdle = queue.length === 0 && queue.running === 0;
      if (isIdle && !owned.has(queue.service)) this.#queues.delete(queue.service);
    }
  }

  load(): ServiceLoad[] {
    return this.#slots.services().map((service) => {
      const { slots, busy } = this.#slots.count(service);
      const queued = this.#queues.get(service)?.length ?? 0;
      return { service, slots, freeSlots: slots - busy, queued };
    });
  }

  estimateWaitMs(service: string, operation: string): number {
    const queue = this.#queues.get(service);
    if (!queue) return this.#slots.usableExecutors(service).length > 0 ? 0 : Infinity;
    const expected = this.#admission.expect(service, operation, undefined);
    const ahead = queue.lane(expected.sizeClass, false).queue.queuedMs;
    return this.#admission.estimateWait(queue, expected, false, ahead);
  }

  close(): void {
    this.#closed = true;
    for (const queue of this.#queues.values()) {
      for (const waiting of [...queue.waiting()]) {
        this.#refuseWaiting(waiting, AdmissionReason.ShuttingDown, 'the process is shutting down');
      }
    }
    this.#expiries.clear();
    this.#outlived.clear();
    for (const timer of this.#rechecks.values()) timer.cancel();
    this.#rechecks.clear();
  }

  #checkItem(item: WorkItem): AdmissionError | undefined {
    if (this.#closed) {
      return this.#admission.refuse(AdmissionReason.ShuttingDown, 'the process is shutting down');
    }
    if (item.signal.aborted) {
      return this.#admission.refuse(AdmissionReason.Cancelled, 'the caller went away', 0);
    }
    if (item.deadline <= this.#options.clock.now()) {
      return this.#admission.refuse(
        AdmissionReason.DeadlineExpired,
        'the deadline passed on arrival',
        0,
      );
    }
    return undefined;
  }

  #enqueue(
    item: WorkItem,
    queue: ServiceQueue,
    team: TeamUse,
    expected: Expectation,
    urgent: boolean,
    settle: WaitingItem['settle'],
  ): void {
    const onAbort = () => {
      this.#cancel(waiting);
    };
    const waiting: WaitingItem = {
      item,
      team,
      queue,
      urgent,
      sizeClass: expected.sizeClass,
      costMs: expected.costMs,
      arrivedAs: expected,
      enqueuedAt: this.#options.clock.now(),
      ticket: undefined,
      parked: undefined,
      held: undefined,
      expiry: undefined,
      onAbort,
      settle,
    };
    item.signal.addEventListener('abort', onAbort, { once: true });
    waiting.expiry = this.#expiries.add(item.deadline, waiting);
    queue.length += 1;
    team.queued += 1;
    if (urgent) team.urgent += 1;
    this.#pushToLane(waiting);
  }

  #pushToLane(waiting: WaitingItem): void {
    const { item, team, queue, sizeClass, urgent, costMs } = waiting;
    const flowKey = this.#policy.flowKey(item);
    const lane = queue.lane(sizeClass, urgent);
    waiting.ticket = lane.queue.push(flowKey, team.quota.weight, waiting, costMs);
  }

  /** Takes an item out of everything that refers to it while it waits. */
  #dequeue(waiting: WaitingItem): void {
    const { ticket, parked, held, queue, expiry, item, onAbort } = waiting;
    if (ticket) ticket.flow.queue.remove(ticket);
    if (parked) queue.parked.remove(parked);
    if (held) queue.probes.remove(held);
    if (expiry) this.#expiries.remove(expiry);
    waiting.ticket = undefined;
    waiting.parked = undefined;
    waiting.held = undefined;
    item.signal.removeEventListener('abort', onAbort);
    queue.length -= 1;
    waiting.team.queued -= 1;
  }

  #refuseWaiting(
    waiting: WaitingItem,
    reason: AdmissionReason,
    message: string,
    retryAfterMs?: number,
  ): void {
    this.#dequeue(waiting);
    if (waiting.urgent) waiting.team.urgent -= 1;
    this.#teams.forgetIfIdle(waiting.team);
    waiting.settle(Result.err(this.#admission.refuse(reason, message, retryAfterMs)));
  }

  #cancel(waiting: WaitingItem): void {
    this.#refuseWaiting(waiting, AdmissionReason.Cancelled, 'the caller went away', 0);
    this.#offerSlots(waiting.queue);
  }

  #expire(waiting: WaitingItem): void {
    const { item, queue } = waiting;
    const message = `the deadline passed after ${Math.round(item.deadline - waiting.enqueuedAt)} ms in the queue`;
    const waitMs = this.estimateWaitMs(item.service, item.operation);
    this.#refuseWaiting(waiting, AdmissionReason.DeadlineExpired, message, waitMs);
    this.#offerSlots(queue);
  }

  #refuseUnplaceable(queue: ServiceQueue): void {
    for (const waiting of [...queue.waiting()]) {
      if (this.#admission.canBePlaced(waiting.item)) continue;
      const message = `no executor of ${queue.service} may take the request any more`;
      this.#refuseWaiting(waiting, AdmissionReason.NoBackend, message);
    }
  }

  #isUrgent(item: WorkItem, team: TeamUse): boolean {
    if (!this.#policy.isUrgent(item)) return false;
    if (team.urgent < team.quota.maxUrgent) return true;
    this.#metrics.urgentOverQuota();
    return false;
  }

  /** Starts waiting items for as long as slots are free. */
  #offerSlots(queue: ServiceQueue): void {
    if (this.#closed) return;
    this.#offerToParked(queue);
    let stalled = false;
    while (queue.length > queue.parked.size && !stalled) {
      const order = queue.offerOrder((sizeClass) =>
        this.#slots.isBelowGuarantee(
          queue.service,
          sizeClass,
          this.#admission.shares(queue, sizeClass),
        ),
      );
      stalled = !order.some((lane) => this.#offerToLane(lane, queue));
    }
    this.#metrics.setLoad(queue.service, {
      ...this.#slots.count(queue.service),
      queued: queue.length,
    });
    if (queue.length > 0) this.#scheduleRecheck(queue);
  }

  /** Offers a slot to a lane; returns whether its state changed. */
  #offerToLane(lane: Lane, queue: ServiceQueue): boolean {
    if (lane.queue.size === 0) return false;
    const ticket = lane.queue.head();
    if (!ticket) return false;
    const waiting = ticket.value;
    if (this.#moveToLearnedLane(waiting) || this.#holdUnlearned(waiting)) return true;
    const shares = this.#admission.shares(queue, lane.sizeClass);
    const candidates = this.#slots.candidates(queue.service, lane.sizeClass, shares);
    if (candidates.length === 0) return false;
    if (isAtRunningQuota(waiting.team)) {
      lane.queue.block(ticket.flow);
      waiting.team.blocked.set(ticket.flow, queue);
      return true;
    }
    if (waiting.item.deadline <= this.#options.clock.now()) {
      this.#expireLate(waiting);
      return true;
    }
    return this.#place(waiting, candidates);
  }

  /** A timer may run late; an item past its deadline is never started. */
  #expireLate(waiting: WaitingItem): void {
    this.#refuseWaiting(waiting, AdmissionReason.DeadlineExpired, 'the deadline passed', 0);
  }

  /** Run times learned since arrival may have shown that the item is of another class. */
  #moveToLearnedLane(waiting: WaitingItem): boolean {
    const { item, ticket } = waiting;
    const expected = this.#admission.expect(item.service, item.operation, item.declaredMs);
    if (!ticket || expected.sizeClass === waiting.sizeClass) return false;
    ticket.flow.queue.remove(ticket);
    waiting.sizeClass = expected.sizeClass;
    waiting.costMs = expected.costMs;
    this.#pushToLane(waiting);
    return true;
  }

  /** Holds an item back while enough of its operation runs to learn its run time. */
  #holdUnlearned(waiting: WaitingItem): boolean {
    const { item, ticket, queue } = waiting;
    if (!ticket || !queue.probes.isAtLimit(item.operation)) return false;
    if (!this.#admission.expect(item.service, item.operation, item.declaredMs).isProbed)
      return false;
    ticket.flow.queue.remove(ticket);
    waiting.ticket = undefined;
    waiting.held = queue.probes.hold(item.operation, waiting);
    return true;
  }

  /** Puts a held item back in line. */
  #resume(waiting: WaitingItem): void {
    const { item } = waiting;
    const expected = this.#admission.expect(item.service, item.operation, item.declaredMs);
    waiting.held = undefined;
    waiting.sizeClass = expected.sizeClass;
    waiting.costMs = expected.costMs;
    this.#pushToLane(waiting);
  }

  /** Records a run time; items that waited for the first one of their operation are back in line. */
  #learn(running: RunningItem, ranMs: number): void {
    const { item, queue } = running;
    this.#runTimes.observe(item.service, item.operation, ranMs, running.recordedMs);
    if (running.isProbe) {
      for (const waiting of queue.probes.settle(item.operation)) this.#resume(waiting);
    }
  }

  /** Starts an item or parks it; returns false when no executor may be used now. */
  #place(waiting: WaitingItem, candidates: ExecutorState[]): boolean {
    const { item, ticket, queue } = waiting;
    const allowed = candidates.filter((state) => !item.avoidVms?.has(state.spec.vm));
    if (allowed.length === 0) {
      if (!ticket) return false;
      ticket.flow.queue.remove(ticket);
      waiting.ticket = undefined;
      waiting.parked = queue.parked.pushBack(waiting);
      return true;
    }
    const chosen = this.#options.choose(
      allowed.map((state) => state.spec),
      (vm) => this.#slots.busySlots(vm),
    );
    const executor = allowed.find((state) => state.spec.vm === chosen?.vm);
    if (!executor) return false;
    this.#start(waiting, executor);
    return true;
  }

  #offerToParked(queue: ServiceQueue): void {
    const limit = Math.min(PARKED_PER_OFFER, queue.parked.size);
    for (let i = 0; i < limit; i++) {
      const node = queue.parked.first;
      if (!node) return;
      queue.parked.moveToBack(node);
      const { sizeClass, team } = node.value;
      const shares = this.#admission.shares(queue, sizeClass);
      const candidates = this.#slots.candidates(queue.service, sizeClass, shares);
      if (!isAtRunningQuota(team)) this.#place(node.value, candidates);
    }
  }

  /** Makes up for slots that become usable without a release, such as after an ejection. */
  #scheduleRecheck(queue: ServiceQueue): void {
    if (this.#rechecks.has(queue)) return;
    const timer = this.#options.clock.setTimer(this.#settings.recheckMs, () => {
      this.#rechecks.delete(queue);
      this.#offerSlots(queue);
    });
    this.#rechecks.set(queue, timer);
  }

  #start(waiting: WaitingItem, executor: ExecutorState): void {
    const { item, team, queue, urgent, sizeClass, costMs } = waiting;
    if (waiting.ticket) waiting.ticket.flow.queue.take(waiting.ticket);
    this.#dequeue(waiting);
    this.#slots.hold(executor, sizeClass);
    team.running += 1;
    const now = this.#options.clock.now();
    const running: RunningItem = {
      item,
      team,
      queue,
      urgent,
      sizeClass,
      executor,
      startedAt: now,
      finishRate: 1 / Math.max(1, costMs),
      recordedMs: undefined,
      arrivedAs: waiting.arrivedAs,
      isProbe: this.#admission.expect(item.service, item.operation, item.declaredMs).isProbed,
      outlives: undefined,
    };
    if (running.isProbe) queue.probes.start(item.operation);
    queue.running += 1;
    queue.finishRate += running.finishRate;
    this.#watchClass(running);
    const waitedMs = now - waiting.enqueuedAt;
    this.#metrics.waited(sizeClass, waitedMs);
    waiting.settle(Result.ok(this.#grant(running, waitedMs)));
  }

  #grant(running: RunningItem, waitedMs: number): SlotGrant {
    let released = false;
    return {
      vm: running.executor.spec.vm,
      waitedMs,
      sizeClass: running.sizeClass,
      release: (ranMs) => {
        if (released) return;
        released = true;
        this.#release(running, ranMs);
      },
    };
  }

  #release(running: RunningItem, ranMs: number | undefined): void {
    const { item, team, queue, executor, sizeClass } = running;
    if (running.outlives) this.#outlived.remove(running.outlives);
    this.#slots.release(executor, sizeClass);
    queue.running -= 1;
    // Sums of fractions drift; an idle service has an exact value to return to.
    queue.finishRate = queue.running === 0 ? 0 : queue.finishRate - running.finishRate;
    team.running -= 1;
    if (running.urgent) team.urgent -= 1;
    if (ranMs !== undefined) {
      this.#learn(running, ranMs);
      const { sizeClass: arrivedClass, costMs } = running.arrivedAs;
      queue.correctArrival(arrivedClass, costMs, sizeClass, ranMs);
      this.#metrics.ran(sizeClass, ranMs);
    } else if (running.isProbe) {
      const next = queue.probes.abandon(item.operation);
      if (next) this.#resume(next);
    }
    const unblocked = unblockFlows(team);
    this.#teams.forgetIfIdle(team);
    for (const each of new Set([queue, ...unblocked])) this.#offerSlots(each);
  }

  #watchClass(running: RunningItem): void {
    const { isProbe, recordedMs, sizeClass } = running;
    // A long first run settles the class of its operation before it ends.
    const limitMs =
      isProbe && recordedMs === undefined
        ? this.#settings.mediumMaxMs
        : this.#policy.outlivesAfterMs(sizeClass, this.#settings);
    if (limitMs === Infinity) return;
    running.outlives = this.#outlived.add(running.startedAt + limitMs, running);
  }

  /** The item counts as a longer class from now on, and so does its operation. */
  #demote(running: RunningItem): void {
    const { executor, sizeClass, queue } = running;
    const ranMs = this.#options.clock.now() - running.startedAt;
    running.sizeClass = nextClass(sizeClass);
    this.#slots.reclassify(executor, sizeClass, running.sizeClass);
    const recordedMs = ranMs * OUTLIVED_FACTOR;
    this.#learn(running, recordedMs);
    running.recordedMs = recordedMs;
    if (running.sizeClass !== sizeClass) this.#metrics.demoted(running.sizeClass);
    this.#watchClass(running);
    if (running.isProbe) this.#offerSlots(queue);
  }

  #queueOf(service: string): ServiceQueue {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new ServiceQueue(service, this.#settings, this.#options.clock);
    this.#queues.set(service, queue);
    return queue;
  }
}
