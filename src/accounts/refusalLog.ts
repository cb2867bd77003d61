import type { Clock } from '../clock/index.js';
import { REFUSAL_LOG_INTERVAL_MS } from './defaults.js';
import type { KeyRefusalReason } from './errors.js';

interface LoggedRefusals {
  /** Monotonic time of the last logged refusal, in milliseconds. */
  loggedAt: number;
  suppressed: number;
}

/** Decides which refused requests are logged: one per queue and reason in each interval. */
export class RefusalLog {
  readonly #clock: Clock;
  readonly #logged = new Map<string, LoggedRefusals>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records a refusal.
   *
   * @param queue - name of a configured queue, which bounds the number of entries
   * @returns number of refusals that were not logged since the last one, if this one is to be logged
   */
  record(queue: string, reason: KeyRefusalReason): number | undefined {
    const now = this.#clock.now();
    const id = `${reason} ${queue}`;
    const entry = this.#logged.get(id);
    if (entry && now - entry.loggedAt < REFUSAL_LOG_INTERVAL_MS) {
      entry.suppressed++;
      return undefined;
    }
    this.#logged.set(id, { loggedAt: now, suppressed: 0 });
    return entry?.suppressed ?? 0;
  }
}
