/** Pauses of a holder's recurring work, and the load from which on they are made. */
export const loadPacingDefaults = {
  /** Share of busy time up to which nothing is paused. */
  idleShare: 0.3,
  /** Share of busy time from which on pauses are longest. */
  fullShare: 0.8,
  /**
   * Longest pause in milliseconds before a worker whose runs have ended is asked again. Short compared
   * with the objectives of jobs, which allow for half a second beside the work itself.
   */
  maxListPauseMs: 200,
  /** Longest pause in milliseconds between two placement rounds, beside the time they take. */
  maxRoundPauseMs: 25,
  /** Weight of the newest measurement. */
  smoothing: 0.4,
};
