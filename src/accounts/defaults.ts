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
