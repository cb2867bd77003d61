import { LinkedList, type ListNode } from './linkedList.js';

/** An operation with unknown run time: its probe runs and the items deferred until they end. */
interface ProbedOperation<T> {
  running: number;
  deferred: LinkedList<T>;
}

/** Reference to an item deferred by {@link OperationProbes}. */
export interface DeferredItem<T> {
  operation: string;
  node: ListNode<T>;
}

/**
 * Limits the concurrency of operations whose run time is not yet known, so that a burst of unknown
 * work cannot fill all slots. All methods are O(1) except {@link markLearned}, which is linear in
 * the number of items that it returns.
 */
export class OperationProbes<T> {
  readonly #limit: number;
  readonly #operations = new Map<string, ProbedOperation<T>>();

  /** @param limit - maximum concurrent runs of one operation before its run time is known */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of operations with running or deferred items. */
  get size(): number {
    return this.#operations.size;
  }

  isAtLimit(operation: string): boolean {
    return (this.#operations.get(operation)?.running ?? 0) >= this.#limit;
  }

  start(operation: string): void {
    this.#getOrCreate(operation).running += 1;
  }

  defer(operation: string, value: T): DeferredItem<T> {
    return { operation, node: this.#getOrCreate(operation).deferred.pushBack(value) };
  }

  remove({ operation, node }: DeferredItem<T>): void {
    node.list?.remove(node);
    this.#removeIfIdle(operation);
  }

  /** Ends a run without a measured run time; returns the deferred item that may replace it. */
  abandon(operation: string): T | undefined {
    const probed = this.#operations.get(operation);
    if (!probed) return undefined;
    probed.running = Math.max(0, probed.running - 1);
    const next = probed.deferred.first;
    if (next) probed.deferred.remove(next);
    this.#removeIfIdle(operation);
    return next?.value;
  }

  /** Marks the run time of an operation as known; returns its deferred items. */
  markLearned(operation: string): T[] {
    const probed = this.#operations.get(operation);
    this.#operations.delete(operation);
    return probed ? [...probed.deferred.values()] : [];
  }

  /** Iterates over all deferred items. */
  *values(): Generator<T> {
    for (const { deferred } of this.#operations.values()) yield* deferred.values();
  }

  #getOrCreate(operation: string): ProbedOperation<T> {
    const existing = this.#operations.get(operation);
    if (existing) return existing;
    const probed = { running: 0, deferred: new LinkedList<T>() };
    this.#operations.set(operation, probed);
    return probed;
  }

  #removeIfIdle(operation: string): void {
    const probed = this.#operations.get(operation);
    if (probed?.running === 0 && probed.deferred.size === 0) this.#operations.delete(operation);
  }
}
