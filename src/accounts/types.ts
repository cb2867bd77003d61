import type { Resources } from '../batch/types.js';

/** A client account, as configured by the operator. */
export interface Account {
  name: string;
  /** SHA-256 digests of its keys in hexadecimal; the keys themselves are not kept. */
  keyDigests: readonly string[];
  /** Share relative to other accounts, and the number of jobs per second that it may submit. */
  weight: number;
  /** What it may have running on all workers together; 0 means no limit for that resource. */
  limit: Resources;
}

/** Rules for client accounts from the settings of a deployment. */
export interface AccountRules {
  /** Whether callers need a key even while the configuration lists no account. */
  areKeysRequired: boolean;
  /** Whether a removed key must be refused everywhere within {@link revocationMs}. */
  isRevocationStrict: boolean;
  /** Time after which a removed key must no longer be accepted, in milliseconds. */
  revocationMs: number;
  /** Share of its limit by which an account may exceed it. */
  maxOverage: number;
  /** Window over which the rate of an account's jobs is measured, in milliseconds. */
  rateWindowMs: number;
}
