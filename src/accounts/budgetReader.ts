import type { Row } from '../batch/ports.js';
import type { BudgetEntry } from './budgetEntry.js';
import { decodeBudget } from './budgetRow.js';
import type { BudgetShares } from './budgetShares.js';
import type { BudgetLedgerDeps } from './budgetTypes.js';
import { smallest } from './resourceMath.js';

/** Dependencies of {@link BudgetReader}. */
export interface BudgetReaderDeps extends Pick<
  BudgetLedgerDeps,
  'epoch' | 'log' | 'counters' | 'lose'
> {
  shares: BudgetShares;
}

/** Applies the budget rows that the feed and the answers to writes deliver. */
export class BudgetReader {
  readonly #deps: BudgetReaderDeps;
  readonly #shares: BudgetShares;

  constructor(deps: BudgetReaderDeps) {
    this.#deps = deps;
    this.#shares = deps.shares;
  }

  applyRow({ key, value, version }: Row): void {
    const entry = this.#shares.entry(key);
    if (version <= entry.version) return;
    entry.version = version;
    if (entry.pending && version > entry.pending.version) delete entry.pending;
    const decoded = decodeBudget(value);
    if (decoded.isErr) {
      this.#reportLoss(entry, decoded.error.code);
      return;
    }
    entry.isLost = false;
    entry.row = decoded.value;
    const share = this.#shares.shareOf(entry);
    if (!share) return;
    if (share.epoch > this.#deps.epoch) {
      this.#handleSuccessor(share.epoch);
      return;
    }
    if (entry.isOwn) entry.lastGrant = share.granted;
    // A return whose answer was lost may have been applied.
    entry.returning = smallest(entry.returning, share.granted);
  }

  applyLoss(account: string): void {
    const entry = this.#shares.entries.get(account);
    if (!entry || entry.version === 0) return;
    entry.version = 0;
    this.#reportLoss(entry, 'removed');
  }

  applyMissingRows(present: ReadonlySet<string>): void {
    for (const { account, pending } of this.#shares.entries.values()) {
      if (!present.has(account) && !pending) this.applyLoss(account);
    }
  }

  #reportLoss(entry: BudgetEntry, reason: string): void {
    entry.isLost = true;
    const { log, counters } = this.#deps;
    counters.count('budget_rows_lost', reason);
    log.warn('budget_row_lost', { account: entry.account, reason, version: entry.version });
  }

  #handleSuccessor(epoch: number): void {
    if (this.#shares.isSuperseded) return;
    this.#shares.isSuperseded = true;
    this.#deps.lose(`a budget row has epoch ${epoch} for the service`);
  }
}
