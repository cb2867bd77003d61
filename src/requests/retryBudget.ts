import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import type { RequestsSettings } from './defaults.js';

/** Token bucket that limits retries to a share of recent traffic plus a small constant rate. */
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

  /** Records one caller request, which adds to the budget. */
  onRequest(): void {
    this.#refill(this.#settings.retryRatio);
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
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
 * Returns the delay before a retry: exponential backoff with full jitter.
 *
 * @param retry - 0 for the first retry
 * @returns the delay in milliseconds
 */
export function backoffMs(random: Random, settings: RequestsSettings, retry: number): number {
  return random.next() * Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** retry);
}
