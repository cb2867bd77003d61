import type { Clock } from '../clock/index.js';

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  perSecond: number;
  /** Time over which unused tokens accumulate, in milliseconds. */
  burstMs: number;
  /** Fraction of the burst that only privileged calls may use. */
  reserve: number;
}

/** Token bucket with a reserved part. Callers without a token are refused rather than queued. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #tokensPerMs: number;
  readonly #capacity: number;
  readonly #reserved: number;
  #tokens: number;
  #refilledAtMs: number;

  constructor(clock: Clock, options: TokenBucketOptions) {
    this.#clock = clock;
    this.#tokensPerMs = options.perSecond / 1_000;
    // Holds at least one token beside the reserved part; otherwise a low rate could never be used.
    this.#capacity = Math.max(2, this.#tokensPerMs * options.burstMs);
    this.#reserved = Math.min(this.#capacity - 1, this.#capacity * options.reserve);
    this.#tokens = this.#capacity;
    this.#refilledAtMs = clock.now();
  }

  /**
   * Takes one token.
   *
   * @param privileged - whether the reserved part may be used
   * @returns false when no token is available
   */
  take(privileged: boolean): boolean {
    this.#refill();
    const minRemaining = privileged ? 0 : this.#reserved;
    if (this.#tokens < minRemaining + 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const now = this.#clock.now();
    const added = (now - this.#refilledAtMs) * this.#tokensPerMs;
    this.#tokens = Math.min(this.#capacity, this.#tokens + added);
    this.#refilledAtMs = now;
  }
}
