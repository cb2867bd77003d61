import { LinkedList, type ListNode } from './linkedList.js';

/** Learned run times of one operation, in milliseconds. */
export interface RunTimeEstimate {
  meanMs: number;
  /** Quantile that determines the size class. */
  classMs: number;
  /** Quantile that must fit before the deadline. */
  admissionMs: number;
}

/** Options of {@link RunTimeTable}. */
export interface RunTimeOptions {
  maxOperations: number;
  learningWindow: number;
  classQuantile: number;
  admissionQuantile: number;
  /** Called when the least recently used operation is evicted. */
  onEvict: () => void;
}

/** Bucket bounds grow by a factor of the square root of two, from 1 ms to 12 min. */
const BUCKETS_PER_OCTAVE = 2;
const BUCKET_COUNT = 40;

/** Keys are truncated to this number of characters, which bounds the memory of the table. */
const MAX_KEY_LENGTH = 256;

interface LearnedOperation {
  key: string;
  counts: Float64Array;
  total: number;
  estimate: RunTimeEstimate;
}

function bucketOf(ms: number): number {
  if (ms <= 1) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log2(ms) * BUCKETS_PER_OCTAVE));
}

function upperBoundOf(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE);
}

/**
 * Learns run times per (service, operation), as histograms with logarithmic buckets and
 * exponentially decaying counts. Their quantiles are affected neither by declared run times nor by
 * a few stragglers.
 */
export class RunTimeTable {
  readonly #options: RunTimeOptions;
  readonly #nodes = new Map<string, ListNode<LearnedOperation>>();
  /** Least recently used first. */
  readonly #lru = new LinkedList<LearnedOperation>();

  constructor(options: RunTimeOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#nodes.size;
  }

  /** Returns the estimate of an operation, or undefined if it has not run. */
  estimate(service: string, operation: string): RunTimeEstimate | undefined {
    const node = this.#nodes.get(keyOf(service, operation));
    if (!node) return undefined;
    this.#lru.moveToBack(node);
    return node.value.estimate;
  }

  /**
   * Records a run time.
   *
   * @param ranMs - run time in milliseconds
   * @param provisionalMs - run time recorded earlier for the same, unfinished run; it is replaced
   */
  observe(service: string, operation: string, ranMs: number, provisionalMs?: number): void {
    const learned = this.#getOrCreate(keyOf(service, operation));
    if (provisionalMs === undefined) decay(learned, 1 - 1 / this.#options.learningWindow);
    else removeCount(learned, bucketOf(provisionalMs));
    const bucket = bucketOf(ranMs);
    learned.counts[bucket] = (learned.counts[bucket] ?? 0) + 1;
    learned.total += 1;
    learned.estimate = {
      meanMs: meanOf(learned),
      classMs: quantileOf(learned, this.#options.classQuantile),
      admissionMs: quantileOf(learned, this.#options.admissionQuantile),
    };
  }

  #getOrCreate(key: string): LearnedOperation {
    const existing = this.#nodes.get(key);
    if (existing) {
      this.#lru.moveToBack(existing);
      return existing.value;
    }
    const leastRecentlyUsed = this.#lru.first;
    if (leastRecentlyUsed && this.#nodes.size >= this.#options.maxOperations) {
      this.#lru.remove(leastRecentlyUsed);
      this.#nodes.delete(leastRecentlyUsed.value.key);
      this.#options.onEvict();
    }
    const estimate = { meanMs: 0, classMs: 0, admissionMs: 0 };
    const learned = { key, counts: new Float64Array(BUCKET_COUNT), total: 0, estimate };
    this.#nodes.set(key, this.#lru.pushBack(learned));
    return learned;
  }
}

function keyOf(service: string, operation: string): string {
  return `${service} ${operation}`.slice(0, MAX_KEY_LENGTH);
}

function decay(learned: LearnedOperation, factor: number): void {
  for (let i = 0; i < BUCKET_COUNT; i++) learned.counts[i] = (learned.counts[i] ?? 0) * factor;
  learned.total *= factor;
}

function removeCount(learned: LearnedOperation, bucket: number): void {
  const removed = Math.min(1, learned.counts[bucket] ?? 0);
  learned.counts[bucket] = (learned.counts[bucket] ?? 0) - removed;
  learned.total -= removed;
}

function meanOf(learned: LearnedOperation): number {
  let sum = 0;
  for (let i = 0; i < BUCKET_COUNT; i++) {
    // Uses the midpoint of the bucket on the logarithmic scale.
    sum += (learned.counts[i] ?? 0) * upperBoundOf(i - 0.5);
  }
  return sum / learned.total;
}

function quantileOf(learned: LearnedOperation, quantile: number): number {
  let remaining = quantile * learned.total;
  for (let i = 0; i < BUCKET_COUNT; i++) {
    remaining -= learned.counts[i] ?? 0;
    if (remaining <= 0) return upperBoundOf(i);
  }
  return upperBoundOf(BUCKET_COUNT - 1);
}
