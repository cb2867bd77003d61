import { isCrashSuspect } from '../batch/crashSuspects.js';
import type { Step } from '../batch/job.js';
import { chooseWorker, type Assignment } from '../batch/placement.js';
import type { Run, Worker } from '../batch/worker.js';
import { copiesDefaults } from './defaults.js';
import { mayHaveCopies } from './stragglers.js';
import type { Straggler } from './types.js';

/** Input of {@link placeCopies}. */
export interface CopyRound {
  workers: readonly Worker[];
  /** Monotonic time in milliseconds. */
  now: number;
  /** Maximum number of copies to start. */
  maxStarts: number;
  /** Whether another run of a step may start now; asked before each copy. */
  isPlaceable: (step: Step) => boolean;
}

/**
 * Starts copies of the stragglers for which this pays: those that are expected to run longer than a
 * fresh run would. The largest gain comes first. Copies go to other workers than the straggler's,
 * and reserve at most a small share of the service's CPU.
 *
 * @param assign - called for each copy; must reserve the worker's resources synchronously
 */
export function placeCopies(
  stragglers: readonly Straggler[],
  { workers, now, maxStarts, isPlaceable }: CopyRound,
  assign: (assignment: Assignment) => void,
): void {
  const worthwhile = stragglers.filter(isWorthwhile).sort((a, b) => gainOf(b) - gainOf(a));
  if (worthwhile.length === 0 || maxStarts <= 0) return;
  let startsLeft = maxStarts;
  let cpuLeft = maxCopyCpu(workers) - copyCpu(workers);
  const usable = workers.filter((worker) => worker.acceptsRuns(now));
  for (const { task, run } of worthwhile) {
    const { step } = task;
    if (startsLeft <= 0) return;
    if (step.spec.cpuMillis > cpuLeft || task.notBefore > now || !isPlaceable(step)) continue;
    const others = usable.filter((worker) => worker !== run.worker && !worker.runs.has(task.name));
    const worker = chooseWorker(step, task, others);
    if (!worker) continue;
    startsLeft--;
    cpuLeft -= step.spec.cpuMillis;
    assign({ task, worker });
  }
}

function isWorthwhile(straggler: Straggler): boolean {
  const { task } = straggler;
  if (!mayHaveCopies(task.step.spec)) return false;
  // A task that may crash its worker must not take a second one with it.
  return gainOf(straggler) > 0 && !task.hadCopy && !isCrashSuspect(task);
}

function gainOf({ remainderMs, freshMs }: Straggler): number {
  return remainderMs - freshMs;
}

/** CPU that copies of a service may reserve, in thousandths of a core. */
function maxCopyCpu(workers: readonly Worker[]): number {
  let cpu = 0;
  for (const { isAdmitted, isVacating, record } of workers) {
    if (isAdmitted && !isVacating) cpu += record.capacity.cpuMillis;
  }
  return cpu * copiesDefaults.maxCpuShare;
}

/** CPU that copies reserve, including those that are being stopped, in thousandths of a core. */
export function copyCpu(workers: readonly Worker[]): number {
  let cpu = 0;
  for (const { runs } of workers) {
    for (const run of runs.values()) if (isSecondRun(run)) cpu += run.task.step.spec.cpuMillis;
  }
  return cpu;
}

/** Whether a copy runs beside another run, or beside one that has ended `done`. */
function isSecondRun({ isCopy, task, worker }: Run): boolean {
  return isCopy && (task.isDone || task.run?.worker !== worker);
}
