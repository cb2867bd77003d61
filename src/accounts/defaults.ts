import type { AccountRules } from './types.js';

/** Rules of a deployment whose settings have none: accounts are used only if configured. */
export const accountRuleDefaults: AccountRules = {
  areKeysRequired: false,
  isRevocationStrict: false,
  revocationMs: 5_000,
  maxOverage: 0,
  rateWindowMs: 5_000,
};

/** Share of {@link AccountRules.revocationMs} after which an unconfirmed configuration is stale. */
export const STALE_SHARE = 0.8;
/** Age of the configuration above which an unknown key may be a recently added one, in ms. */
export const MAX_UNKNOWN_KEY_AGE_MS = 2_000;
/** Retry delay for callers whose key cannot be checked at present, in milliseconds. */
export const STALE_RETRY_MS = 1_000;
/** Interval within which refusals of one queue for one reason are logged once, in milliseconds. */
export const REFUSAL_LOG_INTERVAL_MS = 1_000;

/** Maximum number of open jobs per holder; bounds its memory use. */
export const MAX_OPEN_JOBS = 4_000;
/** Retry delay for callers that are refused because the holder is full or not serving yet. */
export const FULL_RETRY_MS = 2_000;
/** Retry delay for callers that are refused while the store is unavailable. */
export const STORE_RETRY_MS = 1_000;
/** Retry delay for callers whose job the store never accepts; sending it again is of no use. */
export const UNSTORABLE_RETRY_MS = 60_000;

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
  /**
   * Accounts with gauges for each service; bounds the series of a service to 1,300: an account has up to
   * 13 (four amounts of three resources, and the waiting tasks).
   */
  maxGaugeAccounts: 100,
} as const;
