import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import { RunEnd } from '../batch/types.js';
import type { Run } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import { CopyEnd } from './types.js';

/** Dependencies of {@link recordCopyEnd}. */
export interface CopyRecordDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

/** How a copy ended of which its worker reported an end. */
export function copyEndOf({ task }: Run, end: RunEnd): CopyEnd {
  if (task.isDone) return CopyEnd.Lost;
  if (end === RunEnd.Done) return CopyEnd.Won;
  return end === RunEnd.Failed ? CopyEnd.Failed : CopyEnd.Stopped;
}

/** Counts and logs the end of a copy, and records that its task had one. */
export function recordCopyEnd(
  { task, worker, number, startedAt }: Run,
  end: CopyEnd,
  { service, clock, log, counters }: CopyRecordDeps,
): void {
  const ranMs = clock.now() - startedAt;
  const { spec, job } = task.step;
  if (end !== CopyEnd.NotStarted) task.hadCopy = true;
  counters.count('copies', end);
  counters.count('copy_cpu_ms', service, Math.round((spec.cpuMillis / 1_000) * ranMs));
  log.detail(end === CopyEnd.Won ? 'copy_won' : 'copy_ended', {
    job: job.spec.id,
    task: task.name,
    run: number,
    worker: worker.record.id,
    end,
    ran_ms: Math.round(ranMs),
  });
}
