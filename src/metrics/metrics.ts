import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Prefix of every metric name. */
const PREFIX = 'burdocknotch_';

/**
 * Metrics of one process or component. Each instance has its own registry, so that tests can run
 * several entry processes in one process. Requesting an existing name returns the same metric.
 */
export class Metrics {
  readonly registry = new Registry();

  /** Returns a counter; `name` excludes the prefix and ends in `_total` by convention. */
  counter(name: string, help: string, labelNames: string[] = []): Counter {
    const existing = this.registry.getSingleMetric(PREFIX + name);
    if (existing instanceof Counter) return existing;
    return new Counter({ name: PREFIX + name, help, labelNames, registers: [this.registry] });
  }

  /** Returns a gauge; `collect`, if given, updates its value on each scrape. */
  gauge(
    name: string,
    help: string,
    labelNames: string[] = [],
    collect?: (gauge: Gauge) => void,
  ): Gauge {
    const existing = this.registry.getSingleMetric(PREFIX + name);
    if (existing instanceof Gauge) return existing;
    const gauge: Gauge = new Gauge({
      name: PREFIX + name,
      help,
      labelNames,
      registers: [this.registry],
      collect: () => collect?.(gauge),
    });
    return gauge;
  }

  /** Returns a histogram; durations are in seconds, with a name that ends in `_seconds`. */
  histogram(name: string, help: string, buckets: number[], labelNames: string[] = []): Histogram {
    const existing = this.registry.getSingleMetric(PREFIX + name);
    if (existing instanceof Histogram) return existing;
    return new Histogram({
      name: PREFIX + name,
      help,
      labelNames,
      buckets,
      registers: [this.registry],
    });
  }
}
