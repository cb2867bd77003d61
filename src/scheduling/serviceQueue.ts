import type { Team } from '../configuration/index.js';
import type { Result } from 'true-myth';
import type { SchedulingSettings } from './defaults.js';
import { FairQueue, type Flow, type Ticket } from './fairQueue.js';
import { LinkedList, type ListNode } from './linkedList.js';
import type { DueEntry } from './timerQueue.js';
import { SizeClass, type AdmissionError, type SlotGrant, type WorkItem } from './types.js';

/** Use of a team's quotas on this process. */
export interface TeamUse {
  quota: Team;
  queued: number;
  running: number;
  /** Admitted as urgent and not yet finished. */
  urgent: number;
  /** Flows left out because their next item's team is at its running quota. */
  blocked: Map<Flow<WaitingItem>, ServiceQueue>;
}

/** An item that waits for a slot. */
export interface WaitingItem {
  item: WorkItem;
  team: TeamUse;
  queue: ServiceQueue;
  urgent: boolean;
  sizeClass: SizeClass;
  /** Expected run time in milliseconds. */
  costMs: number;
  enqueuedAt: number;
  ticket: Ticket<WaitingItem> | undefined;
  /** Set while every free slot is on a VM that the item avoids. */
  parked: ListNode<WaitingItem> | undefined;
  expiry: DueEntry<WaitingItem> | undefined;
  onAbort: () => void;
  settle: (result: Result<SlotGrant, AdmissionError>) => void;
}

/** The line of one size class. */
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

/** Long work has no upper bound; longer pieces than this many medium ones are charged as this. */
const LONG_QUANTUM_FACTOR = 10;

type LaneSet = Record<SizeClass, Lane>;

/** Everything that waits for one service, in one line per urgency and size class. */
export class ServiceQueue {
  readonly service: string;
  readonly parked = new LinkedList<WaitingItem>();
  /** Items that wait, parked ones included. */
  length = 0;
  /** Sum of the expected rates at which running items finish, per millisecond. */
  finishRate = 0;
  running = 0;
  readonly #urgent: LaneSet;
  readonly #normal: LaneSet;

  constructor(service: string, settings: SchedulingSettings) {
    this.service = service;
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
   * Lanes in the order in which they are offered a slot: urgent ones, those below their
   * guaranteed slots, then the others, shortest first.
   */
  offerOrder(isBelowGuarantee: (sizeClass: SizeClass) => boolean): Lane[] {
    const { short, medium, long } = this.#normal;
    const guaranteed = [long, medium].filter(
      (lane) => lane.queue.size > 0 && isBelowGuarantee(lane.sizeClass),
    );
    const urgent = [this.#urgent.short, this.#urgent.medium, this.#urgent.long];
    return [...urgent, ...guaranteed, short, medium, long];
  }

  /** Whether work waits that is offered a free slot before normal work of the class. */
  hasShorterWaiting(sizeClass: SizeClass): boolean {
    const { short, medium } = this.#normal;
    if (sizeClass === SizeClass.Short) return false;
    if (short.queue.size > 0) return true;
    return sizeClass === SizeClass.Long && medium.queue.size > 0;
  }

  /** Expected run time of the urgent work that waits, in milliseconds. */
  urgentMs(): number {
    const { short, medium, long } = this.#urgent;
    return short.queue.queuedMs + medium.queue.queuedMs + long.queue.queuedMs;
  }

  /** Expected run time of normal work of shorter classes that waits, in milliseconds. */
  shorterMs(sizeClass: SizeClass): number {
    const { short, medium } = this.#normal;
    if (sizeClass === SizeClass.Short) return 0;
    const shortMs = short.queue.queuedMs;
    return sizeClass === SizeClass.Medium ? shortMs : shortMs + medium.queue.queuedMs;
  }

  /** Items of a class that wait in its lanes. */
  countOf(sizeClass: SizeClass): number {
    return this.#urgent[sizeClass].queue.size + this.#normal[sizeClass].queue.size;
  }

  /** Every waiting item. */
  *waiting(): Generator<WaitingItem> {
    for (const lanes of [this.#urgent, this.#normal]) {
      for (const lane of Object.values(lanes)) yield* lane.queue.values();
    }
    for (let node = this.parked.first; node; node = node.next) yield node.value;
  }
}
