import { Counter, Gauge, Registry } from 'prom-client';
import type { Counters, GaugeReading, LatencyCounts } from './counters.js';

const PREFIX = 'burdocknotch_';

/** Renders counters, gauges and histograms in the Prometheus text format. */
export async function renderMetrics(counters: Counters): Promise<string> {
  const registry = new Registry();
  // Before the counters, because a source may count the readings that it leaves out.
  addGauges(counters.gauges(), registry);
  const byName = new Map<string, Counter>();
  for (const [name, reason, value] of counters.entries()) {
    let counter = byName.get(name);
    if (!counter) {
      counter = new Counter({
        name: `${PREFIX}${name}_total`,
        help: `${name.replaceAll('_', ' ')} by reason`,
        labelNames: ['reason'],
        registers: [registry],
      });
      byName.set(name, counter);
    }
    counter.inc({ reason }, value);
  }
  const histograms = [...counters.latencies()].map(([name, latency]) =>
    renderHistogram(name, latency),
  );
  return [await registry.metrics(), ...histograms].join('\n');
}

/** Adds gauges with the labels of their readings to a registry. */
function addGauges(readings: Iterable<GaugeReading>, registry: Registry): void {
  const byName = new Map<string, Gauge>();
  for (const { name, labels, value } of readings) {
    let gauge = byName.get(name);
    if (!gauge) {
      const labelNames = Object.keys(labels);
      gauge = new Gauge({
        name: `${PREFIX}${name}`,
        help: `${name.replaceAll('_', ' ')} by ${labelNames.join(', ')}`,
        labelNames,
        registers: [registry],
      });
      byName.set(name, gauge);
    }
    gauge.set({ ...labels }, value);
  }
}

/** Renders a histogram; the library accepts only single observations, not existing counts. */
function renderHistogram(name: string, { bounds, counts, sum }: LatencyCounts): string {
  const metric = `${PREFIX}${name}`;
  const lines = [`# HELP ${metric} ${name.replaceAll('_', ' ')}`, `# TYPE ${metric} histogram`];
  let total = 0;
  for (const [index, count] of counts.entries()) {
    total += count;
    lines.push(`${metric}_bucket{le="${bounds[index] ?? '+Inf'}"} ${total}`);
  }
  lines.push(`${metric}_sum ${sum}`, `${metric}_count ${total}`);
  return `${lines.join('\n')}\n`;
}
