/** Initial, smallest and largest number of start orders that may wait for their answers. */
const INITIAL_SIZE = 128;
const MIN_SIZE = 32;
const MAX_SIZE = 2_048;
/** An answer that took longer shows that this process or its link is overloaded. */
const SLOW_ANSWER_MS = 120;
/** Factor by which the window shrinks after a slow answer. */
const SHRINK_FACTOR = 0.7;
/** Minimum time between two reductions, so that orders sent together count once. */
const SHRINK_INTERVAL_MS = 150;
/** Orders without an answer, while most have none, that count as a slow answer. */
const MIN_UNANSWERED = 16;
/** Free share of the window at which an exhausted one is used again, to keep placement rounds few. */
const REOPEN_SHARE = 0.25;

/**
 * Limits the start orders that wait for their answers, by additive increase and multiplicative
 * decrease. At a peak beyond what this process or its link can send, orders would otherwise queue
 * until they time out, although the workers carry them out, and the stops that follow add to the load.
 */
export class StartWindow {
  #size = INITIAL_SIZE;
  #pending = 0;
  #shrunkAt = -Infinity;
  #isExhausted = false;
  /** Answered and unanswered orders since the window last shrank, or since as many orders as it holds. */
  #answered = 0;
  #unanswered = 0;

  /** Number of further orders that may be sent now. */
  get free(): number {
    return Math.max(0, Math.floor(this.#size) - this.#pending);
  }

  /** Largest number of orders that may wait for their answers. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /** Counts an order as sent. */
  open(): void {
    this.#pending++;
    if (this.free === 0) this.#isExhausted = true;
  }

  /**
   * Counts an order as over that got no answer. One silent worker is no sign of overload, many are.
   *
   * @param now - monotonic time in milliseconds
   */
  closeUnanswered(now: number): void {
    this.#pending--;
    this.#unanswered++;
    if (this.#unanswered >= MIN_UNANSWERED && this.#unanswered > this.#answered) this.#shrink(now);
  }

  /** Whether an exhausted window has enough room again; true once each time. */
  takeReopened(): boolean {
    if (!this.#isExhausted || this.free < this.#size * REOPEN_SHARE) return false;
    this.#isExhausted = false;
    return true;
  }

  /**
   * Counts an order as answered and adapts the window.
   *
   * @param latencyMs - time from the order to its answer, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  closeAnswered(latencyMs: number, now: number): void {
    this.#pending--;
    this.#answered++;
    if (latencyMs > SLOW_ANSWER_MS) this.#shrink(now);
    else this.#size = Math.min(MAX_SIZE, this.#size + 1);
    if (this.#answered + this.#unanswered > this.#size) this.#resetCounts();
  }

  #resetCounts(): void {
    this.#answered = 0;
    this.#unanswered = 0;
  }

  #shrink(now: number): void {
    if (now - this.#shrunkAt < SHRINK_INTERVAL_MS) return;
    this.#shrunkAt = now;
    this.#resetCounts();
    this.#size = Math.max(MIN_SIZE, this.#size * SHRINK_FACTOR);
  }
}
