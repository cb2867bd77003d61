import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import type { Service, Team } from '../configuration/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ServiceLoad } from '../peers/index.js';
import { Admission, type ItemEstimate } from './admission.js';
import type { SchedulingSettings } from './defaults.js';
import { nextClass, schedulingPolicies, type SchedulingPolicy } from './policies.js';
import { RunTimeTable } from './runTimes.js';
import { createSchedulingMetrics, type SchedulingMetrics } from './schedulingMetrics.js';
import { ServiceQueue, type Lane, type WaitingItem } from './serviceQueue.js';
import { isAtRunningQuota, TeamTable, unblockFlows, type TeamUsage } from './teamTable.js';
import { SlotTable, type ExecutorState } from './slotTable.js';
import { TimerQueue, type TimerEntry } from './timerQueue.js';
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
  /** Looks up a service in the current configuration. */
  service: (id: string) => Service | undefined;
  /** Looks up a team in the current configuration. */
  team: (id: string) => Team | undefined;
  choose: ChooseExecutor;
  /** Whether new work may be sent to a VM; true for every VM by default. */
  usable?: (vm: string) => boolean;
  /** Overrides the policy selected in the settings. */
  policy?: SchedulingPolicy;
}

/** Parked items considered per dispatch, so that a dispatch takes bounded time. */
const MAX_PARKED_PER_DISPATCH = 8;

/** Run time recorded for a demoted item, as a multiple of its run time so far. */
const DEMOTED_RUN_TIME_FACTOR = 1.5;

interface RunningItem {
  item: WorkItem;
  team: TeamUsage;
  queue: ServiceQueue;
  urgent: boolean;
  sizeClass: SizeClass;
  executor: ExecutorState;
  startedAt: number;
  /** Expected completions per millisecond. */
  finishRate: number;
  /** Provisional run time recorded when the item was demoted; replaced when it ends. */
  provisionalMs: number | undefined;
  /** Class and run time counted towards the offered load on arrival. */
  arrivalEstimate: WaitingItem['arrivalEstimate'];
  /** Whether the item started before the run time of its operation was known. */
  isProbe: boolean;
  /** Timer for the next demotion; undefined if the item cannot be demoted. */
  demotion: TimerEntry<RunningItem> | undefined;
}

/** Creates the scheduler for the executors that this process owns. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return new SlotScheduler(options);
}

class SlotScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #settings: SchedulingSettings;
  readonly #policy: SchedulingPolicy;
  readonly #metrics: SchedulingMetrics;
  readonly #runTimes: RunTimeTable;
  readonly #slotTable: SlotTable;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #teams = new TeamTable();
  readonly #admission: Admission;
  readonly #expiries: TimerQueue<WaitingItem>;
  readonly #demotions: TimerQueue<RunningItem>;
  readonly #rechecks = new Map<ServiceQueue, Timer>();
  #closed = false;

  constructor(options: SchedulerOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#settings = settings;
    this.#policy = options.policy ?? schedulingPolicies[settings.policy];
    this.#metrics = createSchedulingMetrics(options.metrics);
    this.#slotTable = new SlotTable(options.usable ?? (() => true));
    this.#runTimes = new RunTimeTable({
      ...settings,
      onEvict: () => {
        this.#metrics.countEviction();
      },
    });
    this.#admission = new Admission({
      clock,
      settings,
      policy: this.#policy,
      metrics: this.#metrics,
      runTimes: this.#runTimes,
      slotTable: this.#slotTable,
    });
    this.#expiries = new TimerQueue(clock, (waiting) => {
      this.#expire(waiting);
    });
    this.#demotions = new TimerQueue(clock, (running) => {
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
        `unknown service ${item.service}`,
      );
      return Promise.resolve(Result.err(err));
    }
    if (!quota) {
      const err = this.#admission.refuse(AdmissionReason.UnknownTeam, `unknown team ${item.team}`);
      return Promise.resolve(Result.err(err));
    }
    const queue = this.#getOrCreateQueue(service.id);
    const team = this.#teams.get(quota);
    const estimate = this.#admission.estimateItem(item.service, item.operation, item.declaredMs);
    const urgent = this.#isUrgent(item, team);
    queue.recordArrival(estimate.sizeClass, estimate.costMs);
    const rejection = this.#admission.check(item, service, queue, team, estimate, urgent);
    if (rejection) {
      this.#teams.removeIfIdle(team);
      return Promise.resolve(Result.err(rejection));
    }
    return new Promise((resolve) => {
      this.#enqueue(item, queue, team, estimate, urgent, resolve);
      this.#dispatch(queue);
    });
  }

  setExecutors(executors: readonly ExecutorSlots[]): void {
    const previousServices = this.#slotTable.services();
    this.#slotTable.setExecutors(executors);
    for (const service of new Set([...previousServices, ...this.#slotTable.services()])) {
      const queue = this.#getOrCreateQueue(service);
      this.#refuseUnplaceable(queue);
      this.#dispatch(queue);
    }
    const ownedServices = new Set(this.#slotTable.services());
    for (const queue of [...this.#queues.values()]) {
      const isIdle = queue.length === 0 && queue.running === 0;
      if (isIdle && !ownedServices.has(queue.service)) this.#queues.delete(queue.service);
    }
  }

  load(): ServiceLoad[] {
    return this.#slotTable.services().map((service) => {
      const { slots, busy } = this.#slotTable.count(service);
      const queued = this.#queues.get(service)?.length ?? 0;
      return { service, slots, freeSlots: slots - busy, queued };
    });
  }

  estimateWaitMs(service: string, operation: string): number {
    const queue = this.#queues.get(service);
    if (!queue) return this.#slotTable.usableExecutors(service).length > 0 ? 0 : Infinity;
    const estimate = this.#admission.estimateItem(service, operation, undefined);
    const laneAheadMs = queue.lane(estimate.sizeClass, false).queue.queuedMs;
    return this.#admission.estimateWaitMs(queue, estimate, false, laneAheadMs);
  }

  close(): void {
    this.#closed = true;
    for (const queue of this.#queues.values()) {
      for (const waiting of [...queue.waitingItems()]) {
        this.#refuseWaiting(waiting, AdmissionReason.ShuttingDown, 'the process is shutting down');
      }
    }
    this.#expiries.clear();
    this.#demotions.clear();
    for (const timer of this.#rechecks.values()) timer.cancel();
    this.#rechecks.clear();
  }

  #checkItem(item: WorkItem): AdmissionError | undefined {
    if (this.#closed) {
      return this.#admission.refuse(AdmissionReason.ShuttingDown, 'the process is shutting down');
    }
    if (item.signal.aborted) {
      return this.#admission.refuse(AdmissionReason.Cancelled, 'the caller disconnected', 0);
    }
    if (item.deadline <= this.#options.clock.now()) {
      return this.#admission.refuse(
        AdmissionReason.DeadlineExpired,
        'the deadline had passed on arrival',
        0,
      );
    }
    return undefined;
  }

  #enqueue(
    item: WorkItem,
    queue: ServiceQueue,
    team: TeamUsage,
    estimate: ItemEstimate,
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
      sizeClass: estimate.sizeClass,
      costMs: estimate.costMs,
      arrivalEstimate: estimate,
      enqueuedAt: this.#options.clock.now(),
      queueEntry: undefined,
      parked: undefined,
      deferred: undefined,
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
    waiting.queueEntry = lane.queue.push(flowKey, team.quota.weight, waiting, costMs);
  }

  /** Removes an item from all queues, timers and counters of waiting items. */
  #dequeue(waiting: WaitingItem): void {
    const { queueEntry, parked, deferred, queue, expiry, item, onAbort } = waiting;
    if (queueEntry) queueEntry.flow.queue.remove(queueEntry);
    if (parked) queue.parked.remove(parked);
    if (deferred) queue.probes.remove(deferred);
    if (expiry) this.#expiries.remove(expiry);
    waiting.queueEntry = undefined;
    waiting.parked = undefined;
    waiting.deferred = undefined;
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
    this.#teams.removeIfIdle(waiting.team);
    waiting.settle(Result.err(this.#admission.refuse(reason, message, retryAfterMs)));
  }

  #cancel(waiting: WaitingItem): void {
    this.#refuseWaiting(waiting, AdmissionReason.Cancelled, 'the caller disconnected', 0);
    this.#dispatch(waiting.queue);
  }

  #expire(waiting: WaitingItem): void {
    const { item, queue } = waiting;
    const message = `the deadline passed after ${Math.round(item.deadline - waiting.enqueuedAt)} ms in the queue`;
    const waitMs = this.estimateWaitMs(item.service, item.operation);
    this.#refuseWaiting(waiting, AdmissionReason.DeadlineExpired, message, waitMs);
    this.#dispatch(queue);
  }

  #refuseUnplaceable(queue: ServiceQueue): void {
    for (const waiting of [...queue.waitingItems()]) {
      if (this.#admission.canBePlaced(waiting.item)) continue;
      const message = `no backend server of ${queue.service} can take the request any longer`;
      this.#refuseWaiting(waiting, AdmissionReason.NoBackend, message);
    }
  }

  #isUrgent(item: WorkItem, team: TeamUsage): boolean {
    if (!this.#policy.isUrgent(item)) return false;
    if (team.urgent < team.quota.maxUrgent) return true;
    this.#metrics.countUrgentOverQuota();
    return false;
  }

  /** Starts queued items while slots are available. */
  #dispatch(queue: ServiceQueue): void {
    if (this.#closed) return;
    this.#dispatchParked(queue);
    let stalled = false;
    while (queue.length > queue.parked.size && !stalled) {
      const lanes = queue.dispatchOrder((sizeClass) =>
        this.#slotTable.isBelowGuarantee(
          queue.service,
          sizeClass,
          this.#admission.shares(queue, sizeClass),
        ),
      );
      stalled = !lanes.some((lane) => this.#dispatchFromLane(lane, queue));
    }
    this.#metrics.setLoad(queue.service, {
      ...this.#slotTable.count(queue.service),
      queued: queue.length,
    });
    if (queue.length > 0) this.#scheduleRecheck(queue);
  }

  /** Processes the head of a lane; returns whether the state of the lane changed. */
  #dispatchFromLane(lane: Lane, queue: ServiceQueue): boolean {
    if (lane.queue.size === 0) return false;
    const entry = lane.queue.head();
    if (!entry) return false;
    const waiting = entry.value;
    if (this.#moveToCurrentLane(waiting) || this.#deferUnlearned(waiting)) return true;
    const shares = this.#admission.shares(queue, lane.sizeClass);
    const candidates = this.#slotTable.candidates(queue.service, lane.sizeClass, shares);
    if (candidates.length === 0) return false;
    if (isAtRunningQuota(waiting.team)) {
      lane.queue.block(entry.flow);
      waiting.team.blockedFlows.set(entry.flow, queue);
      return true;
    }
    if (waiting.item.deadline <= this.#options.clock.now()) {
      this.#expireLate(waiting);
      return true;
    }
    return this.#place(waiting, candidates);
  }

  /** Refuses an item whose expiry timer is late, so that it never starts past its deadline. */
  #expireLate(waiting: WaitingItem): void {
    this.#refuseWaiting(
      waiting,
      AdmissionReason.DeadlineExpired,
      'the deadline passed in the queue',
      0,
    );
  }

  /** Moves an item to another lane if run times learned since arrival changed its size class. */
  #moveToCurrentLane(waiting: WaitingItem): boolean {
    const { item, queueEntry } = waiting;
    const estimate = this.#admission.estimateItem(item.service, item.operation, item.declaredMs);
    if (!queueEntry || estimate.sizeClass === waiting.sizeClass) return false;
    queueEntry.flow.queue.remove(queueEntry);
    waiting.sizeClass = estimate.sizeClass;
    waiting.costMs = estimate.costMs;
    this.#pushToLane(waiting);
    return true;
  }

  /** Defers an item while the maximum number of probe runs of its operation is in progress. */
  #deferUnlearned(waiting: WaitingItem): boolean {
    const { item, queueEntry, queue } = waiting;
    if (!queueEntry || !queue.probes.isAtLimit(item.operation)) return false;
    if (!this.#admission.estimateItem(item.service, item.operation, item.declaredMs).isProbed)
      return false;
    queueEntry.flow.queue.remove(queueEntry);
    waiting.queueEntry = undefined;
    waiting.deferred = queue.probes.defer(item.operation, waiting);
    return true;
  }

  /** Returns a deferred item to its lane, with a new estimate. */
  #requeue(waiting: WaitingItem): void {
    const { item } = waiting;
    const estimate = this.#admission.estimateItem(item.service, item.operation, item.declaredMs);
    waiting.deferred = undefined;
    waiting.sizeClass = estimate.sizeClass;
    waiting.costMs = estimate.costMs;
    this.#pushToLane(waiting);
  }

  /** Records a run time; after a probe run, requeues the items deferred for that operation. */
  #recordRunTime(running: RunningItem, ranMs: number): void {
    const { item, queue } = running;
    this.#runTimes.observe(item.service, item.operation, ranMs, running.provisionalMs);
    if (running.isProbe) {
      for (const waiting of queue.probes.markLearned(item.operation)) this.#requeue(waiting);
    }
  }

  /** Starts or parks an item; returns false if no executor may be used now. */
  #place(waiting: WaitingItem, candidates: ExecutorState[]): boolean {
    const { item, queueEntry, queue } = waiting;
    const allowed = candidates.filter((state) => !item.avoidVms?.has(state.spec.vm));
    if (allowed.length === 0) {
      if (!queueEntry) return false;
      queueEntry.flow.queue.remove(queueEntry);
      waiting.queueEntry = undefined;
      waiting.parked = queue.parked.pushBack(waiting);
      return true;
    }
    const chosen = this.#options.choose(
      allowed.map((state) => state.spec),
      (vm) => this.#slotTable.busySlots(vm),
    );
    const executor = allowed.find((state) => state.spec.vm === chosen?.vm);
    if (!executor) return false;
    this.#start(waiting, executor);
    return true;
  }

  #dispatchParked(queue: ServiceQueue): void {
    const limit = Math.min(MAX_PARKED_PER_DISPATCH, queue.parked.size);
    for (let i = 0; i < limit; i++) {
      const node = queue.parked.first;
      if (!node) return;
      queue.parked.moveToBack(node);
      const { sizeClass, team } = node.value;
      const shares = this.#admission.shares(queue, sizeClass);
      const candidates = this.#slotTable.candidates(queue.service, sizeClass, shares);
      if (!isAtRunningQuota(team)) this.#place(node.value, candidates);
    }
  }

  /**
   * Schedules another dispatch, because executors can become usable without the release of a slot,
   * such as when the ejection of a backend server ends.
   */
  #scheduleRecheck(queue: ServiceQueue): void {
    if (this.#rechecks.has(queue)) return;
    const timer = this.#options.clock.setTimer(this.#settings.recheckMs, () => {
      this.#rechecks.delete(queue);
      this.#dispatch(queue);
    });
    this.#rechecks.set(queue, timer);
  }

  #start(waiting: WaitingItem, executor: ExecutorState): void {
    const { item, team, queue, urgent, sizeClass, costMs } = waiting;
    if (waiting.queueEntry) waiting.queueEntry.flow.queue.take(waiting.queueEntry);
    this.#dequeue(waiting);
    this.#slotTable.acquire(executor, sizeClass);
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
      provisionalMs: undefined,
      arrivalEstimate: waiting.arrivalEstimate,
      isProbe: this.#admission.estimateItem(item.service, item.operation, item.declaredMs).isProbed,
      demotion: undefined,
    };
    if (running.isProbe) queue.probes.start(item.operation);
    queue.running += 1;
    queue.finishRate += running.finishRate;
    this.#scheduleDemotion(running);
    const waitedMs = now - waiting.enqueuedAt;
    this.#metrics.observeWait(sizeClass, waitedMs);
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
    if (running.demotion) this.#demotions.remove(running.demotion);
    this.#slotTable.release(executor, sizeClass);
    queue.running -= 1;
    // Reset when idle, because adding and subtracting fractions accumulates rounding errors.
    queue.finishRate = queue.running === 0 ? 0 : queue.finishRate - running.finishRate;
    team.running -= 1;
    if (running.urgent) team.urgent -= 1;
    if (ranMs !== undefined) {
      this.#recordRunTime(running, ranMs);
      const { sizeClass: arrivedClass, costMs } = running.arrivalEstimate;
      queue.correctArrival(arrivedClass, costMs, sizeClass, ranMs);
      this.#metrics.observeRun(sizeClass, ranMs);
    } else if (running.isProbe) {
      const next = queue.probes.abandon(item.operation);
      if (next) this.#requeue(next);
    }
    const unblocked = unblockFlows(team);
    this.#teams.removeIfIdle(team);
    for (const each of new Set([queue, ...unblocked])) this.#dispatch(each);
  }

  #scheduleDemotion(running: RunningItem): void {
    const { isProbe, provisionalMs, sizeClass } = running;
    // A probe run longer than medium decides the class of its operation before it ends.
    const limitMs =
      isProbe && provisionalMs === undefined
        ? this.#settings.mediumMaxMs
        : this.#policy.demoteAfterMs(sizeClass, this.#settings);
    if (limitMs === Infinity) return;
    running.demotion = this.#demotions.add(running.startedAt + limitMs, running);
  }

  /** Moves a running item to the next longer class and records the longer run time. */
  #demote(running: RunningItem): void {
    const { executor, sizeClass, queue } = running;
    const ranMs = this.#options.clock.now() - running.startedAt;
    running.sizeClass = nextClass(sizeClass);
    this.#slotTable.reclassify(executor, sizeClass, running.sizeClass);
    const provisionalMs = ranMs * DEMOTED_RUN_TIME_FACTOR;
    this.#recordRunTime(running, provisionalMs);
    running.provisionalMs = provisionalMs;
    if (running.sizeClass !== sizeClass) this.#metrics.countDemotion(running.sizeClass);
    this.#scheduleDemotion(running);
    if (running.isProbe) this.#dispatch(queue);
  }

  #getOrCreateQueue(service: string): ServiceQueue {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new ServiceQueue(service, this.#settings, this.#options.clock);
    this.#queues.set(service, queue);
    return queue;
  }
}
