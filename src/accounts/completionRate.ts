/** Time over which ended work is measured; shorter than the demand phases of 4.5 s. */
const WINDOW_MS = 3_000;
/** Time that a pool has to be saturated before the rate says anything about what it can do. */
const MIN_SATURATED_MS = 1_500;

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

  /** Records work that ended. */
  add(work: number, now: number): void {
    this.#ended.push({ at: now, work });
  }

  /** Records whether all capacity is in use while tasks wait. */
  update(isSaturated: boolean, now: number): void {
    if (!isSaturated) this.#saturatedSince = undefined;
    else this.#saturatedSince ??= now;
    const expired = this.#ended.findIndex(({ at }) => now - at <= WINDOW_MS);
    this.#ended = expired < 0 ? [] : this.#ended.slice(expired);
  }

  /** Milliseconds of the whole pool's work that end per millisecond; undefined while unknown. */
  perMs(now: number): number | undefined {
    if (this.#saturatedSince === undefined) return undefined;
    const saturatedMs = now - this.#saturatedSince;
    if (saturatedMs < MIN_SATURATED_MS) return undefined;
    const spanMs = Math.min(WINDOW_MS, saturatedMs);
    let work = 0;
    for (const ended of this.#ended) if (now - ended.at <= spanMs) work += ended.work;
    return work > 0 ? work / spanMs : undefined;
  }
}
