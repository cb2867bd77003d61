/** Upper bounds of the latency buckets in milliseconds, for objectives from 150 ms to seconds. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 150, 250, 500, 1000, 2500, 5000, 10_000];

/** Data of one latency histogram. The last count is for values above all bounds. */
export interface LatencyCounts {
  bounds: readonly number[];
  counts: number[];
  sum: number;
}

/** Present value of a gauge. All readings of a name have the same labels. */
export interface GaugeReading {
  name: string;
  labels: Readonly<Record<string, string>>;
  value: number;
}

/** Reads the present values of gauges. */
export type GaugeSource = () => Iterable<GaugeReading>;

/**
 * Counters by name and reason, and latency histograms, kept as plain numbers, so that the metrics
 * library is loaded only when the metrics page is rendered. Gauges are not kept at all: their sources
 * are read when the page is rendered, so that it never shows an earlier value.
 */
export class Counters {
  readonly #counts = new Map<string, Map<string, number>>();
  readonly #latencies = new Map<string, LatencyCounts>();
  readonly #gaugeSources = new Set<GaugeSource>();

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

  /** Adds a source of gauges; returns the function that removes it. */
  addGauges(source: GaugeSource): () => void {
    this.#gaugeSources.add(source);
    return () => {
      this.#gaugeSources.delete(source);
    };
  }

  /** Present values of all gauges. */
  *gauges(): Generator<GaugeReading> {
    for (const source of this.#gaugeSources) yield* source();
  }

  /** Latency histograms by name. */
  latencies(): Iterable<[string, LatencyCounts]> {
    return this.#latencies;
  }
}
