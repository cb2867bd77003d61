/** Settings of the budget ledger. Times are in milliseconds. */
export const budgetDefaults = {
  /** Long-poll duration of one feed call. */
  feedWaitMs: 1_000,
  /** Pause between feed calls, so that a table that many holders change costs few calls. */
  feedPauseMs: 60,
  /** Minimum time between two transactions of a holder; keeps it at 4 a second at a peak. */
  writeIntervalMs: 250,
  /** Delay before the next transaction after one that failed. */
  retryMs: 500,
  /** After a return for another service, it gets this long to take what was returned. */
  raisePauseMs: 400,
  /** A surplus that nobody wants is returned after this, so that a dead holder keeps little. */
  surplusAfterMs: 3_000,
  /** Part of the cap that counts as a surplus while it is unused. */
  surplusShare: 0.25,
  /** How long nothing must be wanted before this is written; demand comes and goes with each job. */
  unwantedAfterMs: 500,
  /** Time after which the share of a service that left the configuration no longer counts. */
  removedServiceMs: 30_000,
  /** Interval between two log lines of an account. */
  logIntervalMs: 1_000,
} as const;
