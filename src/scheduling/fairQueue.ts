import { effectiveWeight, sharedWorkAhead } from '../accounts/index.js';
import { LinkedList, type ListNode } from './linkedList.js';

/** The items of one team, or of all teams if the policy says so, in a {@link FairQueue}. */
export interface Flow<T> {
  readonly queue: FairQueue<T>;
  readonly key: string;
  weight: number;
  /** Unused service credit. */
  deficitMs: number;
  /** Expected run time of all items of the flow. */
  queuedMs: number;
  /** Whether the quantum of the current round has been credited. */
  credited: boolean;
  readonly entries: LinkedList<QueueEntry<T>>;
  /** Position in the list of flows that may be served; undefined while blocked. */
  activeNode: ListNode<Flow<T>> | undefined;
}

/** An item in a {@link FairQueue}. */
export interface QueueEntry<T> {
  readonly value: T;
  readonly flow: Flow<T>;
  /** Expected run time in milliseconds. */
  readonly costMs: number;
  node: ListNode<QueueEntry<T>> | undefined;
}

/** Weighted deficit round robin queue. Operations are O(1) amortized. */
export class FairQueue<T> {
  readonly #quantumMs: number;
  readonly #flows = new Map<string, Flow<T>>();
  readonly #activeFlows = new LinkedList<Flow<T>>();
  #size = 0;
  #queuedMs = 0;
  /** Part of `#queuedMs` in blocked flows. */
  #blockedMs = 0;
  #totalWeight = 0;

  /** @param quantumMs - credit per round and unit of weight; higher costs are capped to it */
  constructor(quantumMs: number) {
    this.#quantumMs = quantumMs;
  }

  get size(): number {
    return this.#size;
  }

  /** Expected run time of all items in flows that are not blocked, in milliseconds. */
  get queuedMs(): number {
    return this.#queuedMs - this.#blockedMs;
  }

  /** Number of flows with queued items. */
  get flowCount(): number {
    return this.#flows.size;
  }

  /**
   * Estimates the work that is served before a new item of a flow, in milliseconds: everything
   * queued, or less if the flow has less work queued than its share.
   */
  workAheadMs(key: string, weight: number, costMs: number): number {
    const flow = this.#flows.get(key);
    const totalWeight = flow ? this.#totalWeight : this.#totalWeight + effectiveWeight(weight);
    const flowMs = (flow?.queuedMs ?? 0) + costMs;
    return sharedWorkAhead(flowMs, this.queuedMs, weight, totalWeight);
  }

  push(key: string, weight: number, value: T, costMs: number): QueueEntry<T> {
    const flow = this.#flows.get(key) ?? this.#createFlow(key, weight);
    const entry: QueueEntry<T> = { value, flow, costMs, node: undefined };
    entry.node = flow.entries.pushBack(entry);
    flow.queuedMs += costMs;
    this.#queuedMs += costMs;
    if (!flow.activeNode) this.#blockedMs += costMs;
    this.#size += 1;
    return entry;
  }

  /** Returns the item to serve next; it stays queued until {@link take} or {@link remove}. */
  head(): QueueEntry<T> | undefined {
    for (let node = this.#activeFlows.first; node; node = this.#activeFlows.first) {
      const flow = node.value;
      const entry = flow.entries.first?.value;
      if (!flow.credited) {
        flow.credited = true;
        flow.deficitMs += this.#quantumMs * flow.weight;
      }
      if (entry && this.#chargeMs(entry) <= flow.deficitMs) return entry;
      flow.credited = false;
      this.#activeFlows.moveToBack(node);
    }
    return undefined;
  }

  /** Removes the head and deducts its cost from the credit of its flow. */
  take(entry: QueueEntry<T>): void {
    entry.flow.deficitMs -= this.#chargeMs(entry);
    this.remove(entry);
  }

  /** Removes an item without charging its flow. Returns false if it is not queued. */
  remove(entry: QueueEntry<T>): boolean {
    const { flow, node } = entry;
    if (!node || !flow.entries.remove(node)) return false;
    entry.node = undefined;
    flow.queuedMs -= entry.costMs;
    this.#queuedMs -= entry.costMs;
    if (!flow.activeNode) this.#blockedMs -= entry.costMs;
    this.#size -= 1;
    if (flow.entries.size === 0) this.#removeFlow(flow);
    else this.unblock(flow);
    // Reset when empty, because adding and subtracting fractions accumulates rounding errors.
    if (this.#size === 0) {
      this.#queuedMs = 0;
      this.#blockedMs = 0;
    }
    return true;
  }

  /** Excludes a flow from service until {@link unblock}, or until one of its items is removed. */
  block(flow: Flow<T>): void {
    if (!flow.activeNode) return;
    this.#activeFlows.remove(flow.activeNode);
    flow.activeNode = undefined;
    this.#blockedMs += flow.queuedMs;
  }

  unblock(flow: Flow<T>): void {
    if (flow.activeNode || flow.entries.size === 0) return;
    flow.activeNode = this.#activeFlows.pushBack(flow);
    this.#blockedMs -= flow.queuedMs;
  }

  /** Iterates over all queued items, flow by flow. */
  *values(): Generator<T> {
    for (const flow of this.#flows.values()) {
      for (const entry of flow.entries.values()) yield entry.value;
    }
  }

  #chargeMs(entry: QueueEntry<T>): number {
    return Math.min(entry.costMs, this.#quantumMs);
  }

  #createFlow(key: string, weight: number): Flow<T> {
    const flow: Flow<T> = {
      queue: this,
      key,
      weight: effectiveWeight(weight),
      deficitMs: 0,
      queuedMs: 0,
      credited: false,
      entries: new LinkedList(),
      activeNode: undefined,
    };
    this.#flows.set(key, flow);
    this.#totalWeight += flow.weight;
    flow.activeNode = this.#activeFlows.pushBack(flow);
    return flow;
  }

  #removeFlow(flow: Flow<T>): void {
    if (flow.activeNode) this.#activeFlows.remove(flow.activeNode);
    flow.activeNode = undefined;
    this.#flows.delete(flow.key);
    this.#totalWeight = this.#flows.size === 0 ? 0 : this.#totalWeight - flow.weight;
  }
}
