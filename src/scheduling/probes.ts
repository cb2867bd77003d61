import { LinkedList, type ListNode } from './linkedList.js';

/** Runs of one operation that never ended yet, and the items that wait for their outcome. */
interface ProbedOperation<T> {
  running: number;
  deferred: LinkedList<T>;
}

/** Position of an item in {@link OperationProbes}. */
export interface DeferredItem<T> {
  operation: string;
  node: ListNode<T>;
}

/**
 * Lets only a few items of an operation run until its run time is known, so that a wave of unknown
 * work cannot fill the slots. Operations are O(1), but for {@link markLearned}, which is linear in the
 * items that it returns.
 */
export class OperationProbes<T> {
  readonly #limit: number;
  readonly #operations = new Map<string, ProbedOperation<T>>();

  /** @param limit - items of one operation that run before its run time is known */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Operations with running or held items. */
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

  /** Ends a run that taught nothing; returns the item that may take its place. */
  abandon(operation: string): T | undefined {
    const probed = this.#operations.get(operation);
    if (!probed) return undefined;
    probed.running = Math.max(0, probed.running - 1);
    const next = probed.deferred.first;
    if (next) probed.deferred.remove(next);
    this.#removeIfIdle(operation);
    return next?.value;
  }

  /** The run time is known from now on; returns the items that waited for it. */
  markLearned(operation: string): T[] {
    const probed = this.#operations.get(operation);
    this.#operations.delete(operation);
    return probed ? [...probed.deferred.values()] : [];
  }

  /** Every held item. */
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
