import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import type { RowStore } from '../batch/ports.js';
import type { BatchConfig, Resources } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import type { HeldTasks } from './startableDemand.js';

/** Why tasks of an account do not start. */
export enum HeldReason {
  /** The budget rows have not been read yet. */
  NotRead = 'not_read',
  /** The share of the service was written by an earlier holder and is being taken over. */
  NotTakenOver = 'not_taken_over',
  /** The grant of the service is used up. */
  NoGrant = 'no_grant',
  /** All grants together are above the limit, which has been lowered. */
  OverLimit = 'over_limit',
  /** Another service is below its fair share and wants more. */
  AboveShare = 'above_share',
  /** The gang is larger than the limit. */
  GangTooLarge = 'gang_too_large',
}

/** How many tasks may start, and why not all of them. */
export interface StartDecision {
  allowed: number;
  reason?: HeldReason;
}

/** Decisions on starts that have no effect on the ledger. */
export interface BudgetPreview {
  allowedStarts(account: string | undefined, tasks: Omit<HeldTasks, 'account'>): StartDecision;
  /** Counts a run against the grant of its account, in this preview only. */
  addRun(account: string, needs: Readonly<Resources>): void;
}

/** Dependencies of a {@link BudgetLedger}. */
export interface BudgetLedgerDeps {
  service: string;
  epoch: number;
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => Pick<BatchConfig, 'version' | 'accounts' | 'services'> | undefined;
  /** Share of its limit by which an account may exceed it. */
  maxOverage: number;
  /** Whether every run that may still exist on the workers of the service is known. */
  hasCompleteView: () => boolean;
  /** Requests a placement round. */
  place: () => void;
  /** Gives up the service, because a later holder has written the share. */
  lose: (reason: string) => void;
}
