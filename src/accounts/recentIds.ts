import type { Clock } from '../clock/index.js';

/** Longest time after which the store may still apply a write that it did not respond to. */
const LATE_WRITE_MS = 30_000;
/** Maximum number of job ids that are kept for that time. */
const MAX_RECENT_IDS = 1_000;

/** Ids of the jobs whose write was sent within the last {@link LATE_WRITE_MS} and may still be applied. */
export class RecentIds {
  readonly #clock: Clock;
  readonly #addedAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds an id as the most recent one. */
  add(id: string): void {
    this.#addedAt.delete(id);
    this.#addedAt.set(id, this.#clock.now());
    for (const [oldest] of this.#addedAt) {
      if (this.#addedAt.size <= MAX_RECENT_IDS && this.has(oldest)) break;
      this.#addedAt.delete(oldest);
    }
  }

  /** Whether an id was added within that time. */
  has(id: string): boolean {
    return this.#clock.now() - (this.#addedAt.get(id) ?? -Infinity) < LATE_WRITE_MS;
  }
}
