import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import type { Service, Team } from '../configuration/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ServiceLoad } from '../peers/index.js';
import type { SchedulingSettings } from './defaults.js';
import {
  isLonger,
  nextClass,
  schedulingPolicies,
  type SchedulingPolicy,
  type SlotShares,
} from './policies.js';
import { RunTimeTable } from './runTimes.js';
import { createSchedulingMetrics, type SchedulingMetrics } from './schedulingMetrics.js';
import { ServiceQueue, type Lane, type TeamUse, type WaitingItem } from './serviceQueue.js';
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

/** Shortest retry-after, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1;

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
  outlives: DueEntry<RunningItem> | undefined;
}

/** What is expected of an item before it waits, in milliseconds. */
interface Expectation {
  sizeClass: SizeClass;
  costMs: number;
  /** Run time that must fit before the deadline. */
  admissionMs: number;
}

/** Creates the scheduler of the executors that this process owns. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return new SlotScheduler(options);
}

/** Expected time until a team is below its running quota for one more item, in milliseconds. */
function quotaWaitMs(team: TeamUse, costMs: number): number {
  const { maxRunning } = team.quota;
  const excess = team.running + team.queued + 1 - maxRunning;
  if (excess <= 0) return 0;
  return maxRunning > 0 ? (excess * costMs) / maxRunning : Infinity;
}

class SlotScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #settings: SchedulingSettings;
  readonly #policy: SchedulingPolicy;
  readonly #metrics: SchedulingMetrics;
  readonly #runTimes: RunTimeTable;
  readonly #slots: SlotTable;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #teams = new Map<string, TeamUse>();
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
      const err = this.#refuse(AdmissionReason.UnknownService, `no service ${item.service}`);
      return Promise.resolve(Result.err(err));
    }
    if (!quota) {
      const err = this.#refuse(AdmissionReason.UnknownTeam, `no team ${item.team}`);
      return Promise.resolve(Result.err(err));
    }
    const queue = this.#queueOf(service.id);
    const team = this.#teamOf(quota);
    const expected = this.#expect(item.service, item.operation, item.declaredMs);
    const urgent = this.#isUrgent(item, team);
    const overload =
      this.#checkPlaceable(item) ??
      this.#checkCapacity(item, service, queue, team, expected, urgent);
    if (overload) {
      this.#forgetIfIdle(team);
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
    const expected = this.#expect(service, operation, undefined);
    const ahead = queue.lane(expected.sizeClass, false).queue.queuedMs;
    return this.#estimateWait(queue, expected, false, ahead);
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
      return this.#refuse(AdmissionReason.ShuttingDown, 'the process is shutting down');
    }
    if (item.signal.aborted) {
      return this.#refuse(AdmissionReason.Cancelled, 'the caller went away', 0);
    }
    if (item.deadline <= this.#options.clock.now()) {
      return this.#refuse(AdmissionReason.DeadlineExpired, 'the deadline passed on arrival', 0);
    }
    return undefined;
  }

  #checkPlaceable(item: WorkItem): AdmissionError | undefined {
    if (this.#canBePlaced(item)) return undefined;
    const message = `no executor of ${item.service} may take the request`;
    return this.#refuse(AdmissionReason.NoBackend, message);
  }

  #checkCapacity(
    item: WorkItem,
    service: Service,
    queue: ServiceQueue,
    team: TeamUse,
    expected: Expectation,
    urgent: boolean,
  ): AdmissionError | undefined {
    const lane = queue.lane(expected.sizeClass, urgent).queue;
    const ahead = lane.aheadOf(this.#policy.flowKey(item), team.quota.weight, expected.costMs);
    const waitMs = Math.max(
      this.#estimateWait(queue, expected, urgent, ahead),
      quotaWaitMs(team, expected.costMs),
    );
    // With a free slot the request runs even when it is expected to be late: otherwise an
    // operation that was slow once would never run again and never be learned as fast.
    if (waitMs === 0 && this.#hasFreeSlot(item, expected.sizeClass)) return undefined;
    const { mostQueued } = this.#shares(expected.sizeClass);
    const isClassFull =
      queue.countOf(expected.sizeClass) >= Math.ceil(service.maxQueued * mostQueued);
    if (queue.length >= service.maxQueued || isClassFull) {
      const message = `${queue.length} requests wait for ${service.id}, limit ${service.maxQueued}`;
      return this.#refuse(AdmissionReason.ServiceQueueFull, message, waitMs);
    }
    if (team.queued >= team.quota.maxQueued) {
      const message = `${team.queued} requests of ${item.team} wait, limit ${team.quota.maxQueued}`;
      return this.#refuse(AdmissionReason.TeamQueueFull, message, waitMs);
    }
    const remainingMs = item.deadline - this.#options.clock.now();
    const neededMs = waitMs * this.#settings.waitMargin + expected.admissionMs;
    if (neededMs > remainingMs) {
      const message = `estimated wait ${Math.round(waitMs)} ms and run time ${Math.round(expected.admissionMs)} ms exceed the remaining ${Math.round(remainingMs)} ms`;
      return this.#refuse(AdmissionReason.DeadlineUnmeetable, message, neededMs - remainingMs);
    }
    return undefined;
  }

  #hasFreeSlot(item: WorkItem, sizeClass: SizeClass): boolean {
    return this.#slots
      .candidates(item.service, sizeClass, this.#shares(sizeClass))
      .some((state) => !item.avoid?.has(state.spec.vm));
  }

  #refuse(
    reason: AdmissionReason,
    message: string,
    retryAfterMs = this.#settings.refusalRetryAfterMs,
  ): AdmissionError {
    this.#metrics.refused(reason);
    const bounded = Math.min(this.#settings.maxRetryAfterMs, Math.ceil(retryAfterMs));
    return new AdmissionError(reason, message, Math.max(MIN_RETRY_AFTER_MS, bounded));
  }

  #expect(service: string, operation: string, declaredMs: number | undefined): Expectation {
    const learned = this.#runTimes.estimate(service, operation);
    const hint = { declaredMs, learnedMs: learned?.classMs };
    return {
      sizeClass: this.#policy.classify(hint, this.#settings),
      costMs: learned?.meanMs ?? this.#settings.unlearnedRunMs,
      admissionMs: learned?.admissionMs ?? this.#settings.unlearnedRunMs,
    };
  }

  #isUrgent(item: WorkItem, team: TeamUse): boolean {
    if (!this.#policy.isUrgent(item)) return false;
    if (team.urgent < team.quota.maxUrgent) return true;
    this.#metrics.urgentOverQuota();
    return false;
  }

  #canBePlaced(item: WorkItem): boolean {
    return this.#slots
      .usableExecutors(item.service)
      .some((state) => !item.avoid?.has(state.spec.vm));
  }

  /**
   * Expected time until a new item gets a slot, in milliseconds.
   *
   * @param laneMs - expected run time of what is ahead in the item's own lane
   */
  #estimateWait(
    queue: ServiceQueue,
    expected: Expectation,
    urgent: boolean,
    laneMs: number,
  ): number {
    const { sizeClass } = expected;
    const states = this.#slots.usableExecutors(queue.service);
    const slots = states.reduce((sum, state) => sum + state.spec.slots, 0);
    if (slots === 0) return Infinity;
    const shares = this.#shares(sizeClass);
    const isFree = this.#slots.candidates(queue.service, sizeClass, shares).length > 0;
    const shorterMs = urgent ? 0 : queue.urgentMs() + queue.shorterMs(sizeClass);
    if (isFree && laneMs + shorterMs === 0) return 0;
    const firstFreeMs = queue.finishRate > 0 ? 1 / queue.finishRate : 0;
    const guaranteedSlots = Math.max(1, Math.floor(slots * shares.guaranteed));
    if (sizeClass === SizeClass.Long && queue.hasShorterWaiting(sizeClass)) {
      return firstFreeMs + (laneMs + queue.urgentMs()) / guaranteedSlots;
    }
    const longHeld = this.#slots.held(states, SizeClass.Long);
    const usableSlots = slots * shares.most - (sizeClass === SizeClass.Long ? 0 : longHeld);
    return firstFreeMs + (laneMs + shorterMs) / Math.max(guaranteedSlots, usableSlots);
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
      enqueuedAt: this.#options.clock.now(),
      ticket: undefined,
      parked: undefined,
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
    const { ticket, parked, queue, expiry, item, onAbort } = waiting;
    if (ticket) ticket.flow.queue.remove(ticket);
    if (parked) queue.parked.remove(parked);
    if (expiry) this.#expiries.remove(expiry);
    waiting.ticket = undefined;
    waiting.parked = undefined;
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
    this.#forgetIfIdle(waiting.team);
    waiting.settle(Result.err(this.#refuse(reason, message, retryAfterMs)));
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
      if (this.#canBePlaced(waiting.item)) continue;
      const message = `no executor of ${queue.service} may take the request any more`;
      this.#refuseWaiting(waiting, AdmissionReason.NoBackend, message);
    }
  }

  /** Starts waiting items for as long as slots are free. */
  #offerSlots(queue: ServiceQueue): void {
    if (this.#closed) return;
    this.#offerToParked(queue);
    let stalled = false;
    while (queue.length > queue.parked.size && !stalled) {
      const order = queue.offerOrder((sizeClass) =>
        this.#slots.isBelowGuarantee(queue.service, sizeClass, this.#shares(sizeClass)),
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
    const shares = this.#shares(lane.sizeClass);
    const candidates = this.#slots.candidates(queue.service, lane.sizeClass, shares);
    if (candidates.length === 0) return false;
    const ticket = lane.queue.head();
    if (!ticket) return false;
    const waiting = ticket.value;
    if (this.#isAtRunningQuota(waiting.team)) {
      lane.queue.block(ticket.flow);
      waiting.team.blocked.set(ticket.flow, queue);
      return true;
    }
    if (waiting.item.deadline <= this.#options.clock.now()) {
      this.#expireLate(waiting);
      return true;
    }
    if (this.#moveToLongerLane(waiting)) return true;
    return this.#place(waiting, candidates);
  }

  /** A timer may run late; an item past its deadline is never started. */
  #expireLate(waiting: WaitingItem): void {
    this.#refuseWaiting(waiting, AdmissionReason.DeadlineExpired, 'the deadline passed', 0);
  }

  /** Run times learned since arrival may have shown that the item is longer than assumed. */
  #moveToLongerLane(waiting: WaitingItem): boolean {
    const { item, ticket } = waiting;
    const expected = this.#expect(item.service, item.operation, item.declaredMs);
    if (!ticket || !isLonger(expected.sizeClass, waiting.sizeClass)) return false;
    ticket.flow.queue.remove(ticket);
    waiting.sizeClass = expected.sizeClass;
    waiting.costMs = expected.costMs;
    this.#pushToLane(waiting);
    return true;
  }

  /** Starts an item or parks it; returns false when no executor may be used now. */
  #place(waiting: WaitingItem, candidates: ExecutorState[]): boolean {
    const { item, ticket, queue } = waiting;
    const allowed = candidates.filter((state) => !item.avoid?.has(state.spec.vm));
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
      const candidates = this.#slots.candidates(queue.service, sizeClass, this.#shares(sizeClass));
      if (!this.#isAtRunningQuota(team)) this.#place(node.value, candidates);
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
      outlives: undefined,
    };
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
      this.#runTimes.observe(item.service, item.operation, ranMs, running.recordedMs);
      this.#metrics.ran(sizeClass, ranMs);
    }
    const unblocked = this.#unblock(team);
    this.#forgetIfIdle(team);
    for (const each of new Set([queue, ...unblocked])) this.#offerSlots(each);
  }

  #watchClass(running: RunningItem): void {
    const limitMs = this.#policy.outlivesAfterMs(running.sizeClass, this.#settings);
    if (limitMs === Infinity) return;
    running.outlives = this.#outlived.add(running.startedAt + limitMs, running);
  }

  /** The item counts as a longer class from now on, and so does its operation. */
  #demote(running: RunningItem): void {
    const { item, executor, sizeClass } = running;
    const ranMs = this.#options.clock.now() - running.startedAt;
    running.sizeClass = nextClass(sizeClass);
    this.#slots.reclassify(executor, sizeClass, running.sizeClass);
    this.#runTimes.observe(item.service, item.operation, ranMs + 1, running.recordedMs);
    running.recordedMs = ranMs + 1;
    this.#metrics.demoted(running.sizeClass);
    this.#watchClass(running);
  }

  #isAtRunningQuota(team: TeamUse): boolean {
    return team.running >= team.quota.maxRunning;
  }

  #unblock(team: TeamUse): ServiceQueue[] {
    const queues = [...team.blocked.values()];
    for (const flow of team.blocked.keys()) flow.queue.unblock(flow);
    team.blocked.clear();
    return queues;
  }

  #shares(sizeClass: SizeClass): SlotShares {
    return this.#policy.slotShares(sizeClass, this.#settings);
  }

  #queueOf(service: string): ServiceQueue {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new ServiceQueue(service, this.#settings);
    this.#queues.set(service, queue);
    return queue;
  }

  #teamOf(quota: Team): TeamUse {
    const existing = this.#teams.get(quota.id);
    if (!existing) {
      const team: TeamUse = { quota, queued: 0, running: 0, urgent: 0, blocked: new Map() };
      this.#teams.set(quota.id, team);
      return team;
    }
    existing.quota = quota;
    if (!this.#isAtRunningQuota(existing)) this.#unblock(existing);
    return existing;
  }

  #forgetIfIdle(team: TeamUse): void {
    if (team.queued === 0 && team.running === 0) this.#teams.delete(team.quota.id);
  }
}
