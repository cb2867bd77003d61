import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Prefix of every metric name. */
const PREFIX = 'burdocknotch_';

/**
 * Metrics of one process or component, on a registry of its own so that several entry processes
 * can live in one test process. Asking twice for a name returns the same metric.
 */
export class Metrics {
  readonly registry = new Registry();

  /** A counter; `name` without prefix, by convention ending in `_total`. */
  counter(name: string, help: string, labelNames: string[] = []): Counter {
    const existing = this.registry.getSingleMetric(PREFIX + name);
    if (existing instanceof Counter) return existing;
    return new Counter({ name: PREFIX + name, help, labelNames, registers: [this.registry] });
  }

  /** A gauge; `collect`, if given, sets its value whenever the metrics are read. */
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

  /** A histogram; durations are in seconds and the name ends in `_seconds`. */
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
