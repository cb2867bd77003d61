import type { Clock } from '../clock/index.js';

/**
 * Measures offered load in slots: the expected run time that arrives per unit of time, as an
 * exponentially weighted moving average.
 */
export class LoadMeter {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #valueMs = 0;
  #updatedAt: number;

  /** @param windowMs - time constant of the exponential decay */
  constructor(clock: Clock, windowMs: number) {
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#updatedAt = clock.now();
  }

  /** Average number of slots that the arriving work occupies. */
  get slots(): number {
    this.#decay();
    return this.#valueMs / this.#windowMs;
  }

  /** @param costMs - expected run time in milliseconds; negative to undo an earlier addition */
  add(costMs: number): void {
    this.#decay();
    this.#valueMs = Math.max(0, this.#valueMs + costMs);
  }

  #decay(): void {
    const now = this.#clock.now();
    this.#valueMs *= Math.exp((this.#updatedAt - now) / this.#windowMs);
    this.#updatedAt = now;
  }
}
