import type { Clock } from '../clock/index.js';
import { messageOf, toError } from '../errors/index.js';
import type { LoadPacing } from '../loadPacing/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';

/** Shortest delay before a placement round, so that one round covers requests that arrive together. */
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 200;
/** Time left to other work after a round, as a multiple of the round's duration. */
const PAUSE_FACTOR = 2;

/**
 * Delay before the next placement round. With thousands of waiting tasks a round takes a large part of
 * the processor of a small VM; it must not keep the process from reading answers and renewing leases.
 *
 * @param lastDurationMs - duration of the last round in milliseconds
 * @param sinceLastMs - time since the end of the last round in milliseconds
 * @param minPauseMs - shortest time between the two in milliseconds
 */
export function delayBeforeRoundMs(
  lastDurationMs: number,
  sinceLastMs: number,
  minPauseMs = 0,
): number {
  const pauseMs = Math.min(MAX_DELAY_MS, Math.max(minPauseMs, lastDurationMs * PAUSE_FACTOR));
  return Math.max(MIN_DELAY_MS, pauseMs - sinceLastMs);
}

/** Dependencies of a {@link RoundTimer}. */
export interface RoundTimerDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  pacing: Pick<LoadPacing, 'roundPauseMs'>;
  /** Carries out a placement round. */
  placeTasks: () => void;
}

/** Schedules the placement rounds of one service. */
export class RoundTimer {
  readonly #deps: RoundTimerDeps;
  #isScheduled = false;
  /** Duration and end of the last placement round, on the monotonic clock in milliseconds. */
  #roundMs = 0;
  #endedAt = -Infinity;

  /** Number and duration of the rounds since they were last read. */
  #rounds = 0;
  #roundsMs = 0;

  constructor(deps: RoundTimerDeps) {
    this.#deps = deps;
  }

  /** Time since the end of the last round in milliseconds; infinite before the first one. */
  ageMs(): number {
    return this.#deps.clock.now() - this.#endedAt;
  }

  /** Number of rounds since the last call, and their total duration in milliseconds. */
  takeRounds(): { rounds: number; roundsMs: number } {
    const taken = { rounds: this.#rounds, roundsMs: this.#roundsMs };
    this.#rounds = 0;
    this.#roundsMs = 0;
    return taken;
  }

  /** Schedules a placement round unless one is already scheduled. */
  request(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const { service, clock, counters, log, pacing, placeTasks } = this.#deps;
    const delayMs = delayBeforeRoundMs(this.#roundMs, this.ageMs(), pacing.roundPauseMs);
    clock.setTimer(delayMs, () => {
      this.#isScheduled = false;
      const startedAt = clock.now();
      // An error must not end the process; the tick requests the next round.
      try {
        placeTasks();
      } catch (err) {
        counters.count('placement_failures', toError(err).name);
        log.warn('placement_failed', { service, error: messageOf(err) });
      }
      this.#endedAt = clock.now();
      this.#roundMs = this.#endedAt - startedAt;
      counters.observe('placement_round_ms', this.#roundMs);
      this.#rounds++;
      this.#roundsMs += this.#roundMs;
    });
  }
}
