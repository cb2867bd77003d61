import { effectiveWeight } from './shares.js';

/** A job for which an account's rate is counted again after a takeover. */
export interface CountedJob {
  account: string;
  /** Monotonic time of its acceptance, in milliseconds. */
  acceptedAt: number;
  /** Whether it was beyond the rate; undefined if this was not stored. */
  isBeyondRate?: boolean;
}

interface Bucket {
  tokens: number;
  refilledAt: number;
}

/**
 * Counts the jobs of accounts by token buckets: an account may submit `weight` jobs per second, with
 * a burst of one window's worth.
 */
export class JobRates {
  readonly #windowMs: number;
  readonly #weightOf: (account: string) => number;
  readonly #buckets = new Map<string, Bucket>();

  /** @param windowMs - time over which unused tokens accumulate, in milliseconds */
  constructor(windowMs: number, weightOf: (account: string) => number) {
    this.#windowMs = windowMs;
    this.#weightOf = weightOf;
  }

  /**
   * Counts a job.
   *
   * @returns whether it is within its account's rate
   */
  take(account: string, now: number): boolean {
    const bucket = this.#refilled(account, now);
    if (bucket.tokens < 1) return false;
    bucket.tokens--;
    return true;
  }

  /** Whether a job submitted now would be within its account's rate. */
  hasRoom(account: string, now: number): boolean {
    return this.#refilled(account, now).tokens >= 1;
  }

  /** Like {@link hasRoom}, but leaves the bucket as it is, so that no later refill changes. */
  peekRoom(account: string, now: number): boolean {
    return this.#bucketAt(account, now).tokens >= 1;
  }

  /** Takes back the count of a job that was not accepted. */
  giveBack(account: string, now: number): void {
    const bucket = this.#refilled(account, now);
    bucket.tokens = Math.min(this.#burst(account), bucket.tokens + 1);
  }

  /**
   * Counts the jobs that an earlier holder accepted. Without this, each takeover would allow every
   * account another burst.
   *
   * @param decide - called with the result for each job that has none stored
   */
  restore<T extends CountedJob>(
    jobs: Iterable<T>,
    decide: (job: T, isBeyondRate: boolean) => void,
  ): void {
    const inOrder = [...jobs].sort((a, b) => a.acceptedAt - b.acceptedAt);
    for (const job of inOrder) {
      if (job.isBeyondRate === true) continue;
      const isWithin = this.take(job.account, job.acceptedAt);
      if (job.isBeyondRate === undefined) decide(job, !isWithin);
    }
  }

  #burst(account: string): number {
    const perWindow = (effectiveWeight(this.#weightOf(account)) * this.#windowMs) / 1_000;
    // A bucket that holds less than one token could never be used.
    return Math.max(1, perWindow);
  }

  #refilled(account: string, now: number): Bucket {
    const bucket = this.#bucketAt(account, now);
    this.#buckets.set(account, bucket);
    return bucket;
  }

  #bucketAt(account: string, now: number): Bucket {
    const burst = this.#burst(account);
    const bucket = this.#buckets.get(account);
    if (!bucket) return { tokens: burst, refilledAt: now };
    const elapsedMs = Math.max(0, now - bucket.refilledAt);
    const added = (elapsedMs * effectiveWeight(this.#weightOf(account))) / 1_000;
    return {
      tokens: Math.min(burst, bucket.tokens + added),
      refilledAt: Math.max(bucket.refilledAt, now),
    };
  }
}
