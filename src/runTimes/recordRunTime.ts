import type { Counters } from '../batch/counters.js';
import type { Task } from '../batch/job.js';
import { RunPhase, type Run, type Worker } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import type { RunTimes } from './runTimes.js';

/** Dependencies of {@link recordRunTime}. */
export interface RunTimeRecordDeps {
  service: string;
  clock: Clock;
  counters: Counters;
  runTimes: RunTimes;
}

/** Whether a run in one piece will tell how long such tasks take on a healthy worker. */
export function isRepresentative({ step, checkpoint }: Task, { record }: Worker): boolean {
  const { isLasting, nearRack } = step.spec;
  // Away from their data, tasks take a multiple of their time.
  const isNear = nearRack === undefined || record.labels.includes(nearRack);
  return isNear && !isLasting && checkpoint === '';
}

/** Learns from a run that ended well, in one piece and at full speed. */
export function recordRunTime(
  { task, startedAt, phase, isTimed }: Run,
  { service, clock, counters, runTimes }: RunTimeRecordDeps,
): void {
  if (!isTimed || (phase !== RunPhase.Running && phase !== RunPhase.Starting)) return;
  const { spec, job } = task.step;
  const { queue } = job.spec;
  const ranMs = clock.now() - startedAt;
  const predictedMs = runTimes.predictMs(spec, queue);
  // Sums by service; their quotients compare declared and predicted with measured times.
  counters.count('run_times_declared_ms', service, Math.round(spec.estimateMs));
  counters.count('run_times_predicted_ms', service, Math.round(predictedMs));
  counters.count('run_times_measured_ms', service, Math.round(ranMs));
  runTimes.observe(spec, queue, ranMs);
}
