import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import type { Job, Step } from '../batch/job.js';
import type { AllowedStarts } from '../batch/placement.js';
import type { RunControl } from '../batch/runControl.js';
import type { Worker } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import { copiesDefaults } from './defaults.js';
import { placeCopies } from './placeCopies.js';
import { findResumable } from './resume.js';
import { findStragglers } from './stragglers.js';
import type { LearnedTimes, Straggler } from './types.js';

/** Dependencies of {@link StragglerHelp}. */
export interface StragglerHelpDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  runTimes: LearnedTimes;
  runs: Pick<RunControl, 'freeStarts' | 'stop' | 'startCopy'>;
  /** Whether a step has the approval that it needs. */
  isPlaceable: (step: Step) => boolean;
  /** Ticket for running a step on a worker; undefined if there is none. */
  ticketOf: (step: Step, worker: Worker) => string | undefined;
  /** Time in milliseconds that a task needs to resume from a checkpoint; undefined if unknown. */
  resumeCostMs?: number;
}

/** State of a placement round. */
export interface StragglerRound {
  jobs: readonly Job[];
  workers: readonly Worker[];
  /** Whether no task that can be in time waits. */
  isRoomIdle: boolean;
  allowedStarts: AllowedStarts;
}

/** Finds the stragglers of one service, and helps them while no task that can be in time waits. */
export class StragglerHelp {
  readonly #deps: StragglerHelpDeps;
  #soughtAt = -Infinity;

  constructor(deps: StragglerHelpDeps) {
    this.#deps = deps;
  }

  /** Looks for stragglers at most once per `searchIntervalMs`; to be called in each round. */
  update(round: StragglerRound): void {
    const { clock, runTimes } = this.#deps;
    const now = clock.now();
    if (now - this.#soughtAt < copiesDefaults.searchIntervalMs) return;
    this.#soughtAt = now;
    const stragglers = findStragglers(round.jobs, now, runTimes);
    for (const straggler of stragglers) this.#report(straggler);
    if (!round.isRoomIdle) return;
    this.#resumeElsewhere(stragglers, round);
    this.#startCopies(stragglers, round);
  }

  #report({ task, run, elapsedMs, limitMs, remainderMs }: Straggler): void {
    const { service, log, counters } = this.#deps;
    if (run.isStraggler) return;
    run.isStraggler = true;
    counters.count('stragglers', service);
    log.detail('straggler_found', {
      job: task.step.job.spec.id,
      task: task.name,
      run: run.number,
      worker: run.worker.record.id,
      elapsed_ms: Math.round(elapsedMs),
      limit_ms: Math.round(limitMs),
      remainder_ms: Math.round(remainderMs),
    });
  }

  /** Stops stragglers on slow workers where resuming them on another from a checkpoint pays. */
  #resumeElsewhere(stragglers: readonly Straggler[], { workers }: StragglerRound): void {
    const { clock, log, runs, runTimes: times, resumeCostMs } = this.#deps;
    if (resumeCostMs === undefined) return;
    const round = { workers, now: clock.now(), times, resumeCostMs };
    for (const { task, run } of findResumable(stragglers, round)) {
      task.avoid = run.worker.record.id;
      runs.stop(run, 'resumed_elsewhere');
      log.detail('straggler_resumed', {
        job: task.step.job.spec.id,
        task: task.name,
        run: run.number,
        worker: run.worker.record.id,
        slowdown: run.worker.slowdown,
      });
    }
  }

  #startCopies(stragglers: readonly Straggler[], { workers, allowedStarts }: StragglerRound): void {
    const { clock, log, runs, isPlaceable, ticketOf } = this.#deps;
    const round = {
      workers,
      now: clock.now(),
      maxStarts: runs.freeStarts,
      isPlaceable: (step: Step) => isPlaceable(step) && allowedStarts(step, 1) === 1,
    };
    placeCopies(stragglers, round, ({ task, worker }) => {
      runs.startCopy(task, worker, ticketOf(task.step, worker));
      log.detail('copy_started', {
        job: task.step.job.spec.id,
        task: task.name,
        run: task.copy?.number,
        worker: worker.record.id,
        beside: task.run?.worker.record.id,
      });
    });
  }
}
