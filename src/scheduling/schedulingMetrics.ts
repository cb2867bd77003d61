import type { Metrics } from '../metrics/index.js';
import type { AdmissionReason, SizeClass } from './types.js';

/** Upper bounds of the histogram buckets, in seconds. */
const BUCKETS_S = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300];

const MS_PER_S = 1_000;

/** What the scheduler counts. */
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
    'Time from arrival to a slot, by size class',
    BUCKETS_S,
    ['class'],
  );
  const runs = metrics.histogram(
    'scheduling_run_seconds',
    'Time a slot was held, by size class at the end',
    BUCKETS_S,
    ['class'],
  );
  const demotions = metrics.counter(
    'scheduling_demoted_total',
    'Running requests that outlived their size class, by the class they count as from then on',
    ['class'],
  );
  const evictions = metrics.counter(
    'scheduling_operations_evicted_total',
    'Operations dropped from the table of learned run times because it was full',
  );
  const overQuota = metrics.counter(
    'scheduling_urgent_over_quota_total',
    'Urgent requests treated as normal because the team was at its urgent quota',
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
