import type { Clock } from '../clock/index.js';
import type { Service } from '../configuration/index.js';
import type { SchedulingSettings } from './defaults.js';
import { nextClass, type SchedulingPolicy, type SlotShares } from './policies.js';
import type { RunTimeTable } from './runTimes.js';
import type { SchedulingMetrics } from './schedulingMetrics.js';
import type { ServiceQueue } from './serviceQueue.js';
import type { SlotTable } from './slotTable.js';
import { quotaWaitMs, type TeamUsage } from './teamTable.js';
import { AdmissionError, AdmissionReason, SizeClass, type WorkItem } from './types.js';

/** Lower bound of the retry-after delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1;

/** Estimated size of an item, from learned run times where available. */
export interface ItemEstimate {
  sizeClass: SizeClass;
  /** Mean run time, in milliseconds. */
  costMs: number;
  /** Run time that must fit before the deadline, in milliseconds. */
  admissionMs: number;
  /** Whether concurrency is limited because the run time of the operation is not yet known. */
  isProbed: boolean;
}

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  clock: Clock;
  settings: SchedulingSettings;
  policy: SchedulingPolicy;
  metrics: SchedulingMetrics;
  runTimes: RunTimeTable;
  slotTable: SlotTable;
}

/** Estimates queueing delays and decides on arrival whether an item is admitted. */
export class Admission {
  readonly #clock: Clock;
  readonly #settings: SchedulingSettings;
  readonly #policy: SchedulingPolicy;
  readonly #metrics: SchedulingMetrics;
  readonly #runTimes: RunTimeTable;
  readonly #slotTable: SlotTable;

  constructor(options: AdmissionOptions) {
    this.#clock = options.clock;
    this.#settings = options.settings;
    this.#policy = options.policy;
    this.#metrics = options.metrics;
    this.#runTimes = options.runTimes;
    this.#slotTable = options.slotTable;
  }

  /** Estimates the size of an item of an operation. */
  estimateItem(service: string, operation: string, declaredMs: number | undefined): ItemEstimate {
    const learned = this.#runTimes.estimate(service, operation);
    const hint = { declaredMs, learnedMs: learned?.classMs };
    return {
      sizeClass: this.#policy.classify(hint, this.#settings),
      costMs: learned?.meanMs ?? this.#settings.unlearnedRunMs,
      admissionMs: learned?.admissionMs ?? this.#settings.unlearnedRunMs,
      isProbed: this.#policy.isProbed(hint),
    };
  }

  /** Returns the slot and queue limits of a size class under the current load. */
  shares(queue: ServiceQueue, sizeClass: SizeClass): SlotShares {
    const { slots } = this.#slotTable.count(queue.service);
    const load = queue.offeredLoad(sizeClass, slots);
    return this.#policy.slotShares(sizeClass, this.#settings, load);
  }

  /** Whether any usable executor is allowed for the item, free or not. */
  canBePlaced(item: WorkItem): boolean {
    return this.#slotTable
      .usableExecutors(item.service)
      .some((state) => !item.avoidVms?.has(state.spec.vm));
  }

  /**
   * Estimates the time until a new item gets a slot, in milliseconds.
   *
   * @param laneAheadMs - expected run time of the items ahead in the item's own lane
   */
  estimateWaitMs(
    queue: ServiceQueue,
    estimate: ItemEstimate,
    urgent: boolean,
    laneAheadMs: number,
  ): number {
    const { sizeClass } = estimate;
    const states = this.#slotTable.usableExecutors(queue.service);
    const slots = states.reduce((sum, state) => sum + state.spec.slots, 0);
    if (slots === 0) return Infinity;
    const shares = this.shares(queue, sizeClass);
    const hasFreeSlot = this.#slotTable.candidates(queue.service, sizeClass, shares).length > 0;
    const higherPriorityMs = urgent ? 0 : queue.urgentQueuedMs() + queue.shorterQueuedMs(sizeClass);
    if (hasFreeSlot && laneAheadMs + higherPriorityMs === 0) return 0;
    const nextFreeSlotMs = queue.finishRate > 0 ? 1 / queue.finishRate : 0;
    // The slot limit of long work already leaves slots for shorter work.
    const isLong = sizeClass === SizeClass.Long;
    const aheadMs = laneAheadMs + (isLong && !urgent ? queue.urgentQueuedMs() : higherPriorityMs);
    const busyWithLonger = isLong
      ? 0
      : this.#slotTable.countBusyFromClass(states, nextClass(sizeClass));
    const usableSlots = Math.max(1, slots * shares.maxPoolShare - busyWithLonger);
    return nextFreeSlotMs + aheadMs / usableSlots;
  }

  /** Returns the reason to refuse an item of a known service and team, if there is one. */
  check(
    item: WorkItem,
    service: Service,
    queue: ServiceQueue,
    team: TeamUsage,
    estimate: ItemEstimate,
    urgent: boolean,
  ): AdmissionError | undefined {
    return (
      this.#checkPlaceable(item) ??
      this.#checkCapacity(item, service, queue, team, estimate, urgent)
    );
  }

  /**
   * Counts a refusal and returns its error.
   *
   * @param retryAfterMs - delay before a retry; clamped to the configured maximum
   */
  refuse(
    reason: AdmissionReason,
    message: string,
    retryAfterMs = this.#settings.refusalRetryAfterMs,
  ): AdmissionError {
    this.#metrics.countRefusal(reason);
    const bounded = Math.min(this.#settings.maxRetryAfterMs, Math.ceil(retryAfterMs));
    return new AdmissionError(reason, message, Math.max(MIN_RETRY_AFTER_MS, bounded));
  }

  #checkPlaceable(item: WorkItem): AdmissionError | undefined {
    if (this.canBePlaced(item)) return undefined;
    const message = `no backend server of ${item.service} can take the request`;
    return this.refuse(AdmissionReason.NoBackend, message);
  }

  #checkCapacity(
    item: WorkItem,
    service: Service,
    queue: ServiceQueue,
    team: TeamUsage,
    estimate: ItemEstimate,
    urgent: boolean,
  ): AdmissionError | undefined {
    const laneQueue = queue.lane(estimate.sizeClass, urgent).queue;
    const laneAheadMs = laneQueue.workAheadMs(
      this.#policy.flowKey(item),
      team.quota.weight,
      estimate.costMs,
    );
    const isDeferred = estimate.isProbed && queue.probes.isAtLimit(item.operation);
    const waitMs = Math.max(
      this.estimateWaitMs(queue, estimate, urgent, laneAheadMs),
      quotaWaitMs(team, estimate.costMs),
      isDeferred ? this.#settings.unlearnedRunMs : 0,
    );
    // With a free slot, the request runs even if it is expected to miss its deadline. Otherwise an
    // operation that was slow once would never run again, and its run time could not be corrected.
    if (waitMs === 0 && this.#hasFreeSlot(item, queue, estimate.sizeClass)) return undefined;
    const { maxQueueShare } = this.shares(queue, estimate.sizeClass);
    const isClassFull =
      queue.countOf(estimate.sizeClass) >= Math.ceil(service.maxQueued * maxQueueShare);
    if (queue.length >= service.maxQueued || isClassFull) {
      const message = `${queue.length} requests are queued for ${service.id} (limit ${service.maxQueued})`;
      return this.refuse(AdmissionReason.ServiceQueueFull, message, waitMs);
    }
    if (team.queued >= team.quota.maxQueued) {
      const message = `${team.queued} requests of team ${item.team} are queued (limit ${team.quota.maxQueued})`;
      return this.refuse(AdmissionReason.TeamQueueFull, message, waitMs);
    }
    const remainingMs = item.deadline - this.#clock.now();
    const neededMs = waitMs * this.#settings.waitMargin + estimate.admissionMs;
    if (neededMs > remainingMs) {
      const message = `estimated wait ${Math.round(waitMs)} ms and run time ${Math.round(estimate.admissionMs)} ms exceed the remaining time of ${Math.round(remainingMs)} ms`;
      return this.refuse(AdmissionReason.DeadlineUnmeetable, message, neededMs - remainingMs);
    }
    return undefined;
  }

  #hasFreeSlot(item: WorkItem, queue: ServiceQueue, sizeClass: SizeClass): boolean {
    return this.#slotTable
      .candidates(item.service, sizeClass, this.shares(queue, sizeClass))
      .some((state) => !item.avoidVms?.has(state.spec.vm));
  }
}
