import type { Metrics } from '../metrics/index.js';
import type { AdmissionReason, SizeClass } from './types.js';

/** Upper bounds of the histogram buckets, in seconds. */
const BUCKETS_S = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300];

const MS_PER_S = 1_000;

/** Records the metrics of the scheduler. */
export interface SchedulingMetrics {
  countRefusal(reason: AdmissionReason): void;
  observeWait(sizeClass: SizeClass, waitedMs: number): void;
  observeRun(sizeClass: SizeClass, ranMs: number): void;
  countDemotion(to: SizeClass): void;
  countEviction(): void;
  countUrgentOverQuota(): void;
  setLoad(service: string, load: { queued: number; slots: number; busy: number }): void;
}

/** Registers the scheduler's metrics. */
export function createSchedulingMetrics(metrics: Metrics): SchedulingMetrics {
  const refusals = metrics.counter(
    'scheduling_refused_total',
    'Requests refused before they were sent, by reason',
    ['reason'],
  );
  const waits = metrics.histogram(
    'scheduling_wait_seconds',
    'Time from arrival until a slot was granted, by size class',
    BUCKETS_S,
    ['class'],
  );
  const runs = metrics.histogram(
    'scheduling_run_seconds',
    'Time a slot was held, by size class at the end of the run',
    BUCKETS_S,
    ['class'],
  );
  const demotions = metrics.counter(
    'scheduling_demoted_total',
    'Running requests that exceeded the run time of their size class, by new size class',
    ['class'],
  );
  const evictions = metrics.counter(
    'scheduling_operations_evicted_total',
    'Operations evicted from the full table of learned run times',
  );
  const overQuota = metrics.counter(
    'scheduling_urgent_over_quota_total',
    'Urgent requests treated as normal because their team was at its urgent quota',
  );
  const queued = metrics.gauge('scheduling_queue_length', 'Requests waiting for a slot', [
    'service',
  ]);
  const slots = metrics.gauge('scheduling_slots', 'Slots of usable executors, by state', [
    'service',
    'state',
  ]);
  return {
    countRefusal: (reason) => {
      refusals.inc({ reason });
    },
    observeWait: (sizeClass, waitedMs) => {
      waits.observe({ class: sizeClass }, waitedMs / MS_PER_S);
    },
    observeRun: (sizeClass, ranMs) => {
      runs.observe({ class: sizeClass }, ranMs / MS_PER_S);
    },
    countDemotion: (to) => {
      demotions.inc({ class: to });
    },
    countEviction: () => {
      evictions.inc();
    },
    countUrgentOverQuota: () => {
      overQuota.inc();
    },
    setLoad: (service, load) => {
      queued.set({ service }, load.queued);
      slots.set({ service, state: 'busy' }, load.busy);
      slots.set({ service, state: 'free' }, load.slots - load.busy);
    },
  };
}
