import type { Clock } from '../clock/index.js';
import type { Result } from 'true-myth';
import type { SchedulingSettings } from './defaults.js';
import { FairQueue, type QueueEntry } from './fairQueue.js';
import { LinkedList, type ListNode } from './linkedList.js';
import { LoadMeter } from './loadMeter.js';
import { sizeClasses, type OfferedLoad } from './policies.js';
import { OperationProbes, type DeferredItem } from './probes.js';
import type { TeamUsage } from './teamTable.js';
import type { TimerEntry } from './timerQueue.js';
import { SizeClass, type AdmissionError, type SlotGrant, type WorkItem } from './types.js';

/** An item waiting for a slot. */
export interface WaitingItem {
  item: WorkItem;
  team: TeamUsage;
  queue: ServiceQueue;
  urgent: boolean;
  sizeClass: SizeClass;
  /** Expected run time in milliseconds. */
  costMs: number;
  /** Class and run time counted towards the offered load on arrival. */
  arrivalEstimate: { sizeClass: SizeClass; costMs: number };
  enqueuedAt: number;
  queueEntry: QueueEntry<WaitingItem> | undefined;
  /** Set while every free slot is on a VM that the item excludes. */
  parked: ListNode<WaitingItem> | undefined;
  /** Set while the item is deferred until a probe run of its operation ends. */
  deferred: DeferredItem<WaitingItem> | undefined;
  expiry: TimerEntry<WaitingItem> | undefined;
  onAbort: () => void;
  settle: (result: Result<SlotGrant, AdmissionError>) => void;
}

/** Queue of one size class and urgency. */
export interface Lane {
  sizeClass: SizeClass;
  urgent: boolean;
  queue: FairQueue<WaitingItem>;
}

function quantumMs(sizeClass: SizeClass, settings: SchedulingSettings): number {
  switch (sizeClass) {
    case SizeClass.Short:
      return settings.shortMaxMs;
    case SizeClass.Medium:
      return settings.mediumMaxMs;
    case SizeClass.Long:
      return LONG_QUANTUM_FACTOR * settings.mediumMaxMs;
  }
}

/** Cost cap of long items, which have no maximum run time, in multiples of the medium maximum. */
const LONG_QUANTUM_FACTOR = 10;

type LaneSet = Record<SizeClass, Lane>;

/** All items waiting for one service, with one lane per urgency and size class. */
export class ServiceQueue {
  readonly service: string;
  /** Items for which every free slot is on an excluded VM. */
  readonly parked = new LinkedList<WaitingItem>();
  /** Operations with unknown run time and the items deferred for them. */
  readonly probes: OperationProbes<WaitingItem>;
  /** Number of waiting items, including parked and deferred ones. */
  length = 0;
  /** Expected completions of running items per millisecond. */
  finishRate = 0;
  running = 0;
  readonly #urgent: LaneSet;
  readonly #normal: LaneSet;

  /** Load over the short window, for reserving slots. */
  readonly #recentLoad: Record<SizeClass, LoadMeter>;
  /** Load over the long window, for sizing slot limits. */
  readonly #averageLoad: Record<SizeClass, LoadMeter>;

  constructor(service: string, settings: SchedulingSettings, clock: Clock) {
    this.service = service;
    this.probes = new OperationProbes(settings.unlearnedRunning);
    const meters = (windowMs: number): Record<SizeClass, LoadMeter> => ({
      [SizeClass.Short]: new LoadMeter(clock, windowMs),
      [SizeClass.Medium]: new LoadMeter(clock, windowMs),
      [SizeClass.Long]: new LoadMeter(clock, windowMs),
    });
    this.#recentLoad = meters(settings.shortLoadWindowMs);
    this.#averageLoad = meters(settings.longLoadWindowMs);
    const lane = (sizeClass: SizeClass, urgent: boolean): Lane => {
      return { sizeClass, urgent, queue: new FairQueue(quantumMs(sizeClass, settings)) };
    };
    const lanes = (urgent: boolean): LaneSet => ({
      [SizeClass.Short]: lane(SizeClass.Short, urgent),
      [SizeClass.Medium]: lane(SizeClass.Medium, urgent),
      [SizeClass.Long]: lane(SizeClass.Long, urgent),
    });
    this.#urgent = lanes(true);
    this.#normal = lanes(false);
  }

  lane(sizeClass: SizeClass, urgent: boolean): Lane {
    return (urgent ? this.#urgent : this.#normal)[sizeClass];
  }

  /**
   * Returns the lanes in the order in which slots are assigned to them: urgent lanes, lanes below
   * their guaranteed share, then the others, shortest class first.
   */
  dispatchOrder(isBelowGuarantee: (sizeClass: SizeClass) => boolean): Lane[] {
    const { short, medium, long } = this.#normal;
    const guaranteed = [long, medium].filter(
      (lane) => lane.queue.size > 0 && isBelowGuarantee(lane.sizeClass),
    );
    const urgent = [this.#urgent.short, this.#urgent.medium, this.#urgent.long];
    return [...urgent, ...guaranteed, short, medium, long];
  }

  /** Expected run time of the urgent work in the lanes, in milliseconds. */
  urgentQueuedMs(): number {
    return sizeClasses.reduce((sum, each) => sum + this.#urgent[each].queue.queuedMs, 0);
  }

  /** Expected run time of the normal work of shorter classes in the lanes, in milliseconds. */
  shorterQueuedMs(sizeClass: SizeClass): number {
    const { short, medium } = this.#normal;
    if (sizeClass === SizeClass.Short) return 0;
    const shortMs = short.queue.queuedMs;
    return sizeClass === SizeClass.Medium ? shortMs : shortMs + medium.queue.queuedMs;
  }

  /** Adds an item to the offered load, whether or not it is admitted. */
  recordArrival(sizeClass: SizeClass, costMs: number): void {
    this.#recentLoad[sizeClass].add(costMs);
    this.#averageLoad[sizeClass].add(costMs);
  }

  /** Returns the offered load as seen by a size class. */
  offeredLoad(sizeClass: SizeClass, slots: number): OfferedLoad {
    const index = sizeClasses.indexOf(sizeClass);
    const shorterClasses = sizeClasses.slice(0, index);
    const sameOrLongerClasses = sizeClasses.slice(index);
    return {
      slots,
      shorter: shorterClasses.reduce((sum, each) => sum + this.#recentLoad[each].slots, 0),
      sameOrLonger: sameOrLongerClasses.reduce(
        (sum, each) => sum + this.#averageLoad[each].slots,
        0,
      ),
      backlogMs: sameOrLongerClasses.reduce((sum, each) => sum + this.#queuedMs(each), 0),
    };
  }

  /** Replaces the expected run time of an item with the actual one in the average load. */
  correctArrival(
    expectedClass: SizeClass,
    costMs: number,
    actualClass: SizeClass,
    ranMs: number,
  ): void {
    this.#averageLoad[expectedClass].add(-costMs);
    this.#averageLoad[actualClass].add(ranMs);
  }

  #queuedMs(sizeClass: SizeClass): number {
    return this.#urgent[sizeClass].queue.queuedMs + this.#normal[sizeClass].queue.queuedMs;
  }

  /** Number of items in the lanes of a size class. */
  countOf(sizeClass: SizeClass): number {
    return this.#urgent[sizeClass].queue.size + this.#normal[sizeClass].queue.size;
  }

  /** Iterates over all waiting items, including parked and deferred ones. */
  *waitingItems(): Generator<WaitingItem> {
    for (const lanes of [this.#urgent, this.#normal]) {
      for (const lane of Object.values(lanes)) yield* lane.queue.values();
    }
    yield* this.parked.values();
    yield* this.probes.values();
  }
}
