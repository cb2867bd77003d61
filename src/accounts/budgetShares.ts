import type { Resources } from '../batch/types.js';
import { createEntry, type BudgetEntry } from './budgetEntry.js';
import type { BudgetLimits } from './budgetLimits.js';
import type { BudgetShare } from './budgetRow.js';
import { largest, NO_RESOURCES, plus } from './resourceMath.js';

/** Dependencies of {@link BudgetShares}. */
export interface BudgetSharesDeps {
  service: string;
  limits: BudgetLimits;
}

/** What a holder knows of the shares of all services in the budgets of the accounts. */
export class BudgetShares {
  readonly entries = new Map<string, BudgetEntry>();
  /** Whether the budget rows have been read. */
  isLoaded = false;
  /** Whether every run that may still exist on the workers of the service is known. */
  isViewComplete = false;
  /** Whether a later holder has written a share of the service. */
  isSuperseded = false;
  readonly #deps: BudgetSharesDeps;

  constructor(deps: BudgetSharesDeps) {
    this.#deps = deps;
  }

  entry(account: string): BudgetEntry {
    let entry = this.entries.get(account);
    if (!entry) {
      entry = createEntry(account);
      this.entries.set(account, entry);
    }
    return entry;
  }

  shareOf({ row }: BudgetEntry): BudgetShare | undefined {
    return row?.shares[this.#deps.service];
  }

  /** The grant as far as it is known; a share that is not in a repaired row is still one's own. */
  grantOf(entry: BudgetEntry): Resources {
    const share = this.shareOf(entry);
    return share?.granted ?? (entry.isOwn ? entry.lastGrant : NO_RESOURCES);
  }

  /** The part of the grant that is in use, or may be in use by runs that are not known yet. */
  usedOf(entry: BudgetEntry): Resources {
    if (this.isViewComplete) return plus(entry.started, entry.adopted);
    const inherited = entry.isOwn ? entry.inherited : this.grantOf(entry);
    return plus(entry.started, largest(inherited, entry.adopted));
  }

  /** Shares of the other services, except of those that have been removed. */
  othersOf({ row }: BudgetEntry): BudgetShare[] {
    if (!row) return [];
    const isCounted = ([service]: [string, BudgetShare]) =>
      service !== this.#deps.service && !this.#deps.limits.isRemovedService(service);
    return Object.entries(row.shares)
      .filter(isCounted)
      .map(([, share]) => share);
  }
}
