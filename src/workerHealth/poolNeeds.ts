import type { Job } from '../batch/job.js';
import type { Worker } from '../batch/worker.js';
import { Standing, type PoolNeeds } from './types.js';

/** What the open jobs need of the workers, so that not too many are set aside. */
export function poolNeeds(jobs: Iterable<Job>, pool: readonly Worker[]): PoolNeeds {
  const requiredLabels = new Set<string>();
  let lastingCpu = 0;
  let maxAway = pool.length - 1;
  for (const job of jobs) {
    for (const spec of job.spec.steps) {
      const { requiredLabel, isLasting, count, maxPerWorker, cpuMillis } = spec;
      if (requiredLabel !== undefined) requiredLabels.add(requiredLabel);
      if (!isLasting) continue;
      lastingCpu += count * cpuMillis;
      if (maxPerWorker === 0) continue;
      const eligible = pool.filter(
        ({ record }) => requiredLabel === undefined || record.labels.includes(requiredLabel),
      );
      maxAway = Math.min(maxAway, eligible.length - Math.ceil(count / maxPerWorker));
    }
  }
  const capacities = pool.map(({ record }) => record.capacity.cpuMillis);
  const largest = Math.max(1, ...capacities);
  const capacityCpu = capacities.reduce((sum, cpu) => sum + cpu, 0);
  if (lastingCpu > 0) {
    maxAway = Math.min(maxAway, Math.floor((capacityCpu - lastingCpu) / largest));
  }
  const inUse = pool.filter(({ standing }) => standing === Standing.InUse);
  const canSpare = (id: string) => {
    const labels = pool.find(({ record }) => record.id === id)?.record.labels ?? [];
    const isLast = (label: string) =>
      !inUse.some(({ record }) => record.id !== id && record.labels.includes(label));
    return !labels.some((label) => requiredLabels.has(label) && isLast(label));
  };
  return { maxAway, canSpare };
}
