import type { Clock } from '../clock/index.js';
import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import type { Job, Step, Task } from '../batch/job.js';
import type { Worker } from '../batch/worker.js';
import { gainMsOf } from './decidePlaces.js';
import { ReadyTimes } from './readyTimes.js';
import { planRound, type RoundPlaces, type RoundState } from './roundPlaces.js';
import type { PlaceDecision } from './types.js';
import { WaitLog } from './waitLog.js';

/** Dependencies of {@link PlaceWaits}. */
export interface PlaceWaitsDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Factor by which tasks run longer off their rack; no waits if undefined or 1. */
  remoteSlowdown?: number;
  /** Predicted run time of one task of a step, in milliseconds. */
  runMsOf: (step: Step) => number;
}

/** A waiting step and the slack of its job. */
export interface WaitCandidate {
  step: Step;
  /** Time in milliseconds that the job can lose; negative if it is late. */
  slackMs: number;
}

/** Decisions of one round, and where the round reports what it did. */
export interface ReportedPlaces extends RoundPlaces {
  /** A task was left waiting although another rack had capacity for it. */
  handleWait(task: Task, decision: PlaceDecision): void;
}

/** The waits of one service for a better rack. */
export class PlaceWaits {
  readonly #deps: PlaceWaitsDeps;
  readonly #slowdown: number;
  readonly #readyTimes = new ReadyTimes();
  readonly #waitLog: WaitLog;

  constructor(deps: PlaceWaitsDeps) {
    this.#deps = deps;
    this.#slowdown = deps.remoteSlowdown ?? 1;
    const rules = { slowdown: this.#slowdown };
    this.#waitLog = new WaitLog({
      ...deps,
      gainMsOf: (step) => gainMsOf({ runMs: deps.runMsOf(step) }, rules),
    });
  }

  /** Whether tasks may wait for a rack in this deployment. */
  get isEnabled(): boolean {
    return this.#slowdown > 1;
  }

  /**
   * Decides on the racks of a round; undefined if waits are off or no rack matters.
   *
   * @param jobs - the open jobs, including those without waiting steps
   */
  plan(
    candidates: readonly WaitCandidate[],
    jobs: Iterable<Job>,
    { workers, mayUse }: Pick<RoundState, 'workers' | 'mayUse'>,
  ): ReportedPlaces | undefined {
    if (!this.isEnabled) return undefined;
    const { clock, runMsOf } = this.#deps;
    const now = clock.now();
    const wallTimeMs = clock.wallTime();
    this.#waitLog.sweep(now);
    const waiting = candidates.map(({ step, slackMs }) => {
      return { step, slackMs, readyAgeMs: this.#readyTimes.ageMs(step, now, wallTimeMs) };
    });
    this.#readyTimes.recordJobs(jobs);
    const slowdown = this.#slowdown;
    const places = planRound({ waiting, workers, now, slowdown, runMsOf, mayUse });
    if (!places) return undefined;
    return {
      ...places,
      handleWait: (task, decision) => {
        this.#waitLog.handleWait(task, decision, now);
      },
    };
  }

  /**
   * Decides as {@link plan} does, and records nothing.
   *
   * @param candidates - with the step of the holder in `recorded` where `step` is a copy of it
   */
  preview(
    candidates: readonly (WaitCandidate & { recorded: Step })[],
    { workers, mayUse }: Pick<RoundState, 'workers' | 'mayUse'>,
  ): RoundPlaces | undefined {
    if (!this.isEnabled) return undefined;
    const { clock, runMsOf } = this.#deps;
    const now = clock.now();
    const wallTimeMs = clock.wallTime();
    const waiting = candidates.map(({ step, slackMs, recorded }) => {
      return { step, slackMs, readyAgeMs: this.#readyTimes.peekAgeMs(recorded, now, wallTimeMs) };
    });
    return planRound({ waiting, workers, now, slowdown: this.#slowdown, runMsOf, mayUse });
  }

  /** Records the start of a task. */
  handleStart(task: Task, worker: Worker, places: RoundPlaces | undefined): void {
    const reason = places?.decisionsOf(task.step)?.at(-1)?.reason;
    this.#waitLog.handleStart(task, worker, reason, this.#deps.clock.now());
  }
}
