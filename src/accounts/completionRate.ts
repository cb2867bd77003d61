/** Time over which ended work is measured; shorter than the demand phases of 4.5 s. */
const WINDOW_MS = 3_000;
/** Time that a pool has to be saturated before the rate says anything about what it can do. */
const MIN_SATURATED_MS = 1_500;
/**
 * Longest time between updates, which come at least every 100 ms. After a longer one the process did
 * not run, and the ends of that time arrive late.
 */
const MAX_UPDATE_GAP_MS = 500;

interface EndedWork {
  at: number;
  work: number;
}

/**
 * Measures the rate at which work ends. Work is in milliseconds of a whole pool, so the rate does not
 * change with the size of the pool. It is known only while the pool is saturated, because otherwise
 * it shows the demand and not what the pool can do.
 */
export class CompletionRate {
  #ended: EndedWork[] = [];
  #saturatedSince: number | undefined;
  #updatedAt = -Infinity;

  /** Records work that ended. */
  add(work: number, now: number): void {
    this.#ended.push({ at: now, work });
  }

  /** Records whether all capacity is in use while tasks wait. */
  update(isSaturated: boolean, now: number): void {
    const hasGap = now - this.#updatedAt > MAX_UPDATE_GAP_MS;
    if (!isSaturated || hasGap) this.#saturatedSince = undefined;
    if (isSaturated) this.#saturatedSince ??= now;
    this.#updatedAt = now;
    const firstKept = this.#ended.findIndex(({ at }) => now - at <= 2 * WINDOW_MS);
    this.#ended = firstKept < 0 ? [] : this.#ended.slice(firstKept);
  }

  /**
   * Milliseconds of the whole pool's work that end per millisecond; undefined while unknown. The higher
   * one of two successive windows, because ends that a broken link delays are not a slower pool.
   */
  perMs(now: number): number | undefined {
    if (this.#saturatedSince === undefined) return undefined;
    const saturatedMs = now - this.#saturatedSince;
    if (saturatedMs < MIN_SATURATED_MS) return undefined;
    const spanMs = Math.min(WINDOW_MS, saturatedMs);
    const recent = this.#rateOver(now - spanMs, now);
    const isEarlierKnown = saturatedMs >= 2 * WINDOW_MS;
    const earlier = isEarlierKnown ? this.#rateOver(now - 2 * WINDOW_MS, now - WINDOW_MS) : 0;
    return Math.max(recent, earlier) || undefined;
  }

  #rateOver(from: number, to: number): number {
    let work = 0;
    for (const ended of this.#ended) if (ended.at >= from && ended.at <= to) work += ended.work;
    return work / (to - from);
  }
}
