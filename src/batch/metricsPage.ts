import { Counter, Registry } from 'prom-client';
import type { Counters, LatencyCounts } from './counters.js';

const PREFIX = 'burdocknotch_';

/** Renders counters in the Prometheus text format. */
export async function renderMetrics(counters: Counters): Promise<string> {
  const registry = new Registry();
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
