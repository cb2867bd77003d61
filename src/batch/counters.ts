/** Upper bounds of the latency buckets in milliseconds, for objectives from 150 ms to seconds. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 150, 250, 500, 1000, 2500, 5000, 10_000];

/** Data of one latency histogram. The last count is for values above all bounds. */
export interface LatencyCounts {
  bounds: readonly number[];
  counts: number[];
  sum: number;
}

/**
 * Counters by name and reason, and latency histograms, kept as plain numbers, so that the metrics
 * library is loaded only when the metrics page is rendered.
 */
export class Counters {
  readonly #counts = new Map<string, Map<string, number>>();
  readonly #latencies = new Map<string, LatencyCounts>();

  /** Increments the counter of a reason. */
  count(name: string, reason: string, by = 1): void {
    let reasons = this.#counts.get(name);
    if (!reasons) this.#counts.set(name, (reasons = new Map<string, number>()));
    reasons.set(reason, (reasons.get(reason) ?? 0) + by);
  }

  /** Records a latency in milliseconds. */
  observe(name: string, latencyMs: number): void {
    let histogram = this.#latencies.get(name);
    if (!histogram) {
      const counts = new Array<number>(LATENCY_BUCKETS_MS.length + 1).fill(0);
      this.#latencies.set(name, (histogram = { bounds: LATENCY_BUCKETS_MS, counts, sum: 0 }));
    }
    const bucket = LATENCY_BUCKETS_MS.findIndex((bound) => latencyMs <= bound);
    const index = bucket < 0 ? LATENCY_BUCKETS_MS.length : bucket;
    histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
    histogram.sum += latencyMs;
  }

  /** Value of a counter; 0 when it was never incremented. */
  value(name: string, reason: string): number {
    return this.#counts.get(name)?.get(reason) ?? 0;
  }

  *entries(): Generator<[name: string, reason: string, value: number]> {
    for (const [name, reasons] of this.#counts) {
      for (const [reason, value] of reasons) yield [name, reason, value];
    }
  }

  /** Latency histograms by name. */
  latencies(): Iterable<[string, LatencyCounts]> {
    return this.#latencies;
  }
}
