import type { Clock } from '../clock/index.js';

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  perSecond: number;
  /** Time over which unused tokens accumulate, in milliseconds. */
  burstMs: number;
  /** Fraction of the burst that only privileged takers may use. */
  reserve: number;
}

/** Token bucket with a reserved part. It refuses instead of making callers wait. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #perMs: number;
  readonly #capacity: number;
  readonly #reserved: number;
  #tokens: number;
  #filledAt: number;

  constructor(clock: Clock, options: TokenBucketOptions) {
    this.#clock = clock;
    this.#perMs = options.perSecond / 1_000;
    // At least one token beside a reserved one fits, or a small share could never be used.
    this.#capacity = Math.max(2, this.#perMs * options.burstMs);
    this.#reserved = Math.min(this.#capacity - 1, this.#capacity * options.reserve);
    this.#tokens = this.#capacity;
    this.#filledAt = clock.now();
  }

  /**
   * Takes one token.
   *
   * @param privileged - whether the reserved part may be used
   * @returns false when no token is available
   */
  take(privileged: boolean): boolean {
    this.#fill();
    const floor = privileged ? 0 : this.#reserved;
    if (this.#tokens < floor + 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #fill(): void {
    const now = this.#clock.now();
    const added = (now - this.#filledAt) * this.#perMs;
    this.#tokens = Math.min(this.#capacity, this.#tokens + added);
    this.#filledAt = now;
  }
}
