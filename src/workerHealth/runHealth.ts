import type { Task } from '../batch/job.js';
import { RunEnd } from '../batch/types.js';
import type { Run, Worker } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import { RunOutcome, type JudgedWorker } from './types.js';
import type { WorkerHealth } from './workerHealth.js';

/** Dependencies of {@link RunHealth}. */
export interface RunHealthDeps {
  clock: Clock;
  /** Undefined where workers are not judged. */
  health?: WorkerHealth;
  /** Expected run time of a task in milliseconds; 0 if unknown. */
  expectedMs: (task: Task) => number;
  isRunning: (run: Run) => boolean;
  /** Whether the duration of a run tells how fast its worker is. */
  isSpeedSample: (run: Run) => boolean;
}

/** Turns the runs of a service into input for the judgement of its workers. */
export class RunHealth {
  readonly #deps: RunHealthDeps;

  constructor(deps: RunHealthDeps) {
    this.#deps = deps;
  }

  /** Records the end of a run, unless the run was stopped. */
  recordEnd(run: Run, end: RunEnd): void {
    if (end !== RunEnd.Done && end !== RunEnd.Failed) return;
    const { worker, task, startedAt } = run;
    this.#deps.health?.recordEnd({
      worker: worker.record.id,
      task: task.name,
      step: stepKey(task),
      kind: kindOf(task),
      outcome: end === RunEnd.Done ? RunOutcome.Done : RunOutcome.Failed,
      startedAt,
      ratio: this.#deps.isSpeedSample(run) ? this.#ratioOf(run) : undefined,
      isTrial: worker.trialRun === run,
    });
  }

  /** Whether a failed run may be the fault of its worker. */
  isAttributable(worker: Worker, task: Task): boolean {
    return this.#deps.health?.isAttributable(worker.record.id, task.name) ?? true;
  }

  /** The state of a worker as input for its judgement. */
  judgedWorker(worker: Worker): JudgedWorker {
    const { isRunning, isSpeedSample } = this.#deps;
    const openRuns: JudgedWorker['openRuns'] = [];
    for (const run of worker.runs.values()) {
      const ratio = isRunning(run) && isSpeedSample(run) ? this.#ratioOf(run) : 0;
      const { task, startedAt } = run;
      const isTrial = worker.trialRun === run;
      openRuns.push({ kind: kindOf(task), startedAt, ratio: ratio ?? 0, isTrial });
    }
    return { id: worker.record.id, bornMs: worker.record.bornMs, openRuns };
  }

  /** Time since the start of a run, compared with the expected run time. */
  #ratioOf({ task, startedAt }: Run): number | undefined {
    const expectedMs = this.#deps.expectedMs(task);
    return expectedMs > 0 ? (this.#deps.clock.now() - startedAt) / expectedMs : undefined;
  }
}

/** Name of a step whose tasks are equal. */
function stepKey({ name }: Task): string {
  return name.slice(0, name.lastIndexOf('.'));
}

/** Tasks of the same queue and image behave alike. */
function kindOf({ step }: Task): string {
  return `${step.job.spec.queue} ${step.spec.image}`;
}
