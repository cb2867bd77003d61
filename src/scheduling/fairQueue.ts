import { LinkedList, type ListNode } from './linkedList.js';

/** Weights are raised to this, so that a flow is reached after a bounded number of visits. */
const MIN_WEIGHT = 0.1;

/** The items of one team (or of all teams, as the policy decides) in a {@link FairQueue}. */
export interface Flow<T> {
  readonly queue: FairQueue<T>;
  readonly key: string;
  weight: number;
  deficitMs: number;
  queuedMs: number;
  /** Whether the quantum of the current round was credited. */
  credited: boolean;
  readonly tickets: LinkedList<Ticket<T>>;
  /** Position among the flows that may be served; undefined while blocked. */
  active: ListNode<Flow<T>> | undefined;
}

/** A queued item. */
export interface Ticket<T> {
  readonly value: T;
  readonly flow: Flow<T>;
  /** Expected run time in milliseconds. */
  readonly costMs: number;
  node: ListNode<Ticket<T>> | undefined;
}

/** Weighted deficit round robin over flows. Operations are O(1) amortized. */
export class FairQueue<T> {
  readonly #quantumMs: number;
  readonly #flows = new Map<string, Flow<T>>();
  readonly #active = new LinkedList<Flow<T>>();
  #size = 0;
  #queuedMs = 0;
  /** Part of `#queuedMs` in blocked flows. */
  #blockedMs = 0;
  #weight = 0;

  /** @param quantumMs - credit per round and unit of weight; larger costs count as this much */
  constructor(quantumMs: number) {
    this.#quantumMs = quantumMs;
  }

  get size(): number {
    return this.#size;
  }

  /** Expected run time of everything queued in flows that may be served, in milliseconds. */
  get queuedMs(): number {
    return this.#queuedMs - this.#blockedMs;
  }

  /** Number of flows with queued items. */
  get flowCount(): number {
    return this.#flows.size;
  }

  /**
   * Work that is served before a new item of a flow, in milliseconds: all of it, or less when the
   * flow has used less than its share.
   */
  aheadOf(key: string, weight: number, costMs: number): number {
    const flow = this.#flows.get(key);
    const ownWeight = Math.max(MIN_WEIGHT, weight);
    const totalWeight = flow ? this.#weight : this.#weight + ownWeight;
    const ownMs = (flow?.queuedMs ?? 0) + costMs;
    return Math.min(this.queuedMs, (ownMs * totalWeight) / ownWeight);
  }

  push(key: string, weight: number, value: T, costMs: number): Ticket<T> {
    const flow = this.#flows.get(key) ?? this.#createFlow(key, weight);
    const ticket: Ticket<T> = { value, flow, costMs, node: undefined };
    ticket.node = flow.tickets.pushBack(ticket);
    flow.queuedMs += costMs;
    this.#queuedMs += costMs;
    if (!flow.active) this.#blockedMs += costMs;
    this.#size += 1;
    return ticket;
  }

  /** The item to serve next; it stays queued until {@link take} or {@link remove}. */
  head(): Ticket<T> | undefined {
    for (let node = this.#active.first; node; node = this.#active.first) {
      const flow = node.value;
      const ticket = flow.tickets.first?.value;
      if (!flow.credited) {
        flow.credited = true;
        flow.deficitMs += this.#quantumMs * flow.weight;
      }
      if (ticket && this.#charge(ticket) <= flow.deficitMs) return ticket;
      flow.credited = false;
      this.#active.moveToBack(node);
    }
    return undefined;
  }

  /** Removes the head and charges its cost to its flow. */
  take(ticket: Ticket<T>): void {
    ticket.flow.deficitMs -= this.#charge(ticket);
    this.remove(ticket);
  }

  /** Removes an item without charge. Returns false when it is not queued. */
  remove(ticket: Ticket<T>): boolean {
    const { flow, node } = ticket;
    if (!node || !flow.tickets.remove(node)) return false;
    ticket.node = undefined;
    flow.queuedMs -= ticket.costMs;
    this.#queuedMs -= ticket.costMs;
    if (!flow.active) this.#blockedMs -= ticket.costMs;
    this.#size -= 1;
    if (flow.tickets.size === 0) this.#removeFlow(flow);
    else this.unblock(flow);
    // Sums of fractions drift; an empty queue has an exact value to return to.
    if (this.#size === 0) {
      this.#queuedMs = 0;
      this.#blockedMs = 0;
    }
    return true;
  }

  /** Leaves a flow out until {@link unblock}, or until its head is removed. */
  block(flow: Flow<T>): void {
    if (!flow.active) return;
    this.#active.remove(flow.active);
    flow.active = undefined;
    this.#blockedMs += flow.queuedMs;
  }

  unblock(flow: Flow<T>): void {
    if (flow.active || flow.tickets.size === 0) return;
    flow.active = this.#active.pushBack(flow);
    this.#blockedMs -= flow.queuedMs;
  }

  /** Every queued item, flow by flow. */
  *values(): Generator<T> {
    for (const flow of this.#flows.values()) {
      for (const ticket of flow.tickets.values()) yield ticket.value;
    }
  }

  #charge(ticket: Ticket<T>): number {
    return Math.min(ticket.costMs, this.#quantumMs);
  }

  #createFlow(key: string, weight: number): Flow<T> {
    const flow: Flow<T> = {
      queue: this,
      key,
      weight: Math.max(MIN_WEIGHT, weight),
      deficitMs: 0,
      queuedMs: 0,
      credited: false,
      tickets: new LinkedList(),
      active: undefined,
    };
    this.#flows.set(key, flow);
    this.#weight += flow.weight;
    flow.active = this.#active.pushBack(flow);
    return flow;
  }

  #removeFlow(flow: Flow<T>): void {
    if (flow.active) this.#active.remove(flow.active);
    flow.active = undefined;
    this.#flows.delete(flow.key);
    this.#weight = this.#flows.size === 0 ? 0 : this.#weight - flow.weight;
  }
}
