import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import type { RequestsSettings } from './defaults.js';

/** Limits retries to a share of recent traffic plus a small constant rate. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #settings: RequestsSettings;
  #tokens: number;
  #refilledAt: number;

  constructor(clock: Clock, settings: RequestsSettings) {
    this.#clock = clock;
    this.#settings = settings;
    this.#tokens = settings.retryMinPerSecond;
    this.#refilledAt = clock.now();
  }

  /** Records one request of a caller. */
  onRequest(): void {
    this.#refill(this.#settings.retryRatio);
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(): boolean {
    this.#refill(0);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(extra: number): void {
    const now = this.#clock.now();
    const earned = ((now - this.#refilledAt) / 1_000) * this.#settings.retryMinPerSecond;
    this.#refilledAt = now;
    this.#tokens = Math.min(this.#settings.retryBurst, this.#tokens + earned + extra);
  }
}

/**
 * Delay before a retry: exponential with full jitter.
 *
 * @param retry - 0 for the first retry
 * @returns milliseconds
 */
export function backoffMs(random: Random, settings: RequestsSettings, retry: number): number {
  return random.next() * Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** retry);
}
