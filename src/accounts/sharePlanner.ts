import type { Resources } from '../batch/types.js';
import { capOf, divide, isWantedChange, type Division } from './budgetDivision.js';
import { isSame, UNCONTESTED, type BudgetEntry, type VersionedLimit } from './budgetEntry.js';
import type { BudgetLimits } from './budgetLimits.js';
import { encodeBudget, type BudgetRow } from './budgetRow.js';
import type { BudgetShares } from './budgetShares.js';
import type { BudgetLedgerDeps } from './budgetTypes.js';
import { budgetDefaults } from './defaults.js';
import {
  isEqual,
  isNone,
  isWithin,
  largest,
  minus,
  NO_RESOURCES,
  RESOURCE_KINDS,
} from './resourceMath.js';

/** The change of one row in a write. */
export interface PlannedWrite {
  entry: BudgetEntry;
  row: BudgetRow;
  granted: Resources;
  hasOverrun: boolean;
  /** Grant before the write. */
  before: Resources;
  returned: Resources;
  /** Whether part of the grant is returned because other services want it. */
  isReturn: boolean;
}

/** Dependencies of {@link SharePlanner}. */
export interface SharePlannerDeps extends Pick<
  BudgetLedgerDeps,
  'service' | 'epoch' | 'store' | 'clock' | 'config' | 'maxOverage'
> {
  limits: BudgetLimits;
  shares: BudgetShares;
}

/** Decides which shares of the service change: raises, returns, takeover and repair of lost rows. */
export class SharePlanner {
  readonly #deps: SharePlannerDeps;
  readonly #limits: BudgetLimits;
  readonly #shares: BudgetShares;

  constructor(deps: SharePlannerDeps) {
    this.#deps = deps;
    this.#limits = deps.limits;
    this.#shares = deps.shares;
  }

  /** All rows that have to change, as far as they fit into one transaction. */
  planAll(): PlannedWrite[] {
    const { operations, transactionBytes } = this.#deps.store.limits;
    const planned: PlannedWrite[] = [];
    let bytes = 0;
    for (const entry of this.#shares.entries.values()) {
      const plan = this.plan(entry);
      if (!plan) continue;
      bytes += Buffer.byteLength(encodeBudget(plan.row));
      if (planned.length > 0 && bytes > transactionBytes) break;
      planned.push(plan);
      if (planned.length >= Math.floor(operations / 2)) break;
    }
    return planned;
  }

  /** The row to write for an account; undefined if nothing has to change. */
  plan(entry: BudgetEntry): PlannedWrite | undefined {
    const limit = this.#limits.of(entry);
    if (!limit) return undefined;
    if (isNone(limit.limit)) return this.#planWithoutLimit(entry, limit);
    if (entry.isLost) return this.#planRepair(entry, limit);
    if (this.#isIdle(entry, limit)) return undefined;
    const { row } = entry;
    const cap = capOf(limit.limit, this.#deps.maxOverage);
    if (!isSame(cap, entry.cap)) Object.assign(entry, { cap, hasOverrun: false });
    const missing = this.#missingOf(entry);
    const isMissing = row?.missing?.includes(this.#deps.service) === true;
    const share = this.#shares.shareOf(entry);
    const used = this.#shares.usedOf(entry);
    const known = largest(this.#shares.grantOf(entry), used);
    const division = this.#divide(entry, { cap, granted: known, used, mayRaise: !missing.length });
    entry.fairShare = division.fairShare;
    if (isEqual(division.fairShare, UNCONTESTED)) entry.returning = NO_RESOURCES;
    const isTakeover = !entry.isOwn && entry.demand.length > 0;
    const isLimitChanged = row !== undefined && !isEqual(row.limit, limit.limit);
    const hasChanged =
      !isEqual(division.granted, share?.granted ?? NO_RESOURCES) ||
      this.#isWantedWorthWriting(entry, share?.wanted ?? NO_RESOURCES, division.wanted) ||
      (isTakeover && (row !== undefined || !isNone(division.wanted))) ||
      isLimitChanged ||
      (isMissing && this.#shares.isViewComplete) ||
      entry.pending?.isUnresolved === true;
    if (!hasChanged) return undefined;
    return this.#plannedWrite(entry, limit, division, missing, row?.shares ?? {});
  }

  /** Whether an account has nothing here, and nothing to record; most accounts of a large fleet. */
  #isIdle(entry: BudgetEntry, { limit }: VersionedLimit): boolean {
    const { row, started, adopted, demand, pending } = entry;
    const share = this.#shares.shareOf(entry);
    return (
      demand.length === 0 &&
      !pending &&
      isNone(started) &&
      isNone(adopted) &&
      isNone(this.#shares.grantOf(entry)) &&
      (!share || isNone(share.wanted)) &&
      (!row || (!row.missing && isEqual(row.limit, limit)))
    );
  }

  #plannedWrite(
    entry: BudgetEntry,
    { version, limit }: VersionedLimit,
    { granted, wanted, hasOverrun }: Pick<Division, 'granted' | 'wanted' | 'hasOverrun'>,
    missing: string[],
    shares: BudgetRow['shares'],
  ): PlannedWrite {
    const { service, epoch } = this.#deps;
    const kept = Object.entries(shares).filter(([name]) => !this.#limits.isRemovedService(name));
    const row: BudgetRow = {
      version,
      limit,
      shares: { ...Object.fromEntries(kept), [service]: { epoch, granted, wanted } },
      ...(missing.length > 0 ? { missing } : {}),
    };
    const before = this.#shares.grantOf(entry);
    const isWantedElsewhere = this.#shares.othersOf(entry).some((share) => !isNone(share.wanted));
    const isReturn = isWantedElsewhere && !isWithin(before, granted);
    return { entry, row, granted, hasOverrun, before, returned: entry.returning, isReturn };
  }

  /** Records that a limit was removed, so that an older one in the row does not apply again. */
  #planWithoutLimit(entry: BudgetEntry, limit: VersionedLimit): PlannedWrite | undefined {
    const { row } = entry;
    if (!row || entry.isLost || isNone(row.limit)) return undefined;
    const granted = this.#shares.grantOf(entry);
    const division = { granted, wanted: { ...NO_RESOURCES }, hasOverrun: false };
    return this.#plannedWrite(entry, limit, division, [], row.shares);
  }

  /** Replaces a lost row by one with the own share only; nobody may raise until all have theirs. */
  #planRepair(entry: BudgetEntry, limit: VersionedLimit): PlannedWrite | undefined {
    if (!entry.isOwn && !this.#shares.isViewComplete) return undefined;
    const used = this.#shares.usedOf(entry);
    const granted = entry.isOwn ? largest(this.#shares.grantOf(entry), used) : used;
    if (isNone(granted) && entry.demand.length === 0) return undefined;
    const division = { granted, wanted: { ...NO_RESOURCES }, hasOverrun: entry.hasOverrun };
    return this.#plannedWrite(entry, limit, division, this.#otherServices(), {});
  }

  /** Services whose runs for the account are unknown, so that nothing may be raised. */
  #missingOf({ account, row }: BudgetEntry): string[] {
    const hadNoLimit = row ? isNone(row.limit) : this.#limits.wasUnlimited(account);
    const { service, config } = this.#deps;
    const own = this.#shares.isViewComplete ? [] : [service];
    if (hadNoLimit) return [...this.#otherServices(), ...own];
    const services = new Set(config()?.services.map(({ name }) => name));
    return (row?.missing ?? []).filter(
      (name) => services.has(name) && (name !== service || !this.#shares.isViewComplete),
    );
  }

  #otherServices(): string[] {
    const services = this.#deps.config()?.services ?? [];
    return services
      .filter(({ name, isStandby }) => name !== this.#deps.service && !isStandby)
      .map(({ name }) => name);
  }

  #divide(
    entry: BudgetEntry,
    input: { cap: Resources; granted: Resources; used: Resources; mayRaise: boolean },
  ): Division {
    const { cap, granted, used, mayRaise } = input;
    const now = this.#deps.clock.now();
    const isReturning = !isNone(entry.returning);
    return divide({
      cap,
      others: this.#shares.othersOf(entry),
      granted: isReturning ? largest(minus(granted, entry.returning), used) : granted,
      used,
      demand: entry.demand,
      hasOverrun: entry.hasOverrun,
      mayRaise: mayRaise && !isReturning && now >= entry.raisePausedUntil,
      isSurplusOld: this.#isSurplusOld(entry, cap, granted, used),
    });
  }

  #isSurplusOld(entry: BudgetEntry, cap: Resources, granted: Resources, used: Resources): boolean {
    const now = this.#deps.clock.now();
    const hasSurplus = RESOURCE_KINDS.some((kind) => {
      const unused = granted[kind] - used[kind];
      if (used[kind] === 0) return unused > 0 && isNone(used);
      return unused > cap[kind] * budgetDefaults.surplusShare;
    });
    if (!hasSurplus || entry.demand.length > 0) {
      delete entry.surplusSince;
      return false;
    }
    entry.surplusSince ??= now;
    return now - entry.surplusSince >= budgetDefaults.surplusAfterMs;
  }

  #isWantedWorthWriting(entry: BudgetEntry, before: Resources, after: Resources): boolean {
    const isDropped = isNone(after) && !isNone(before);
    if (!isDropped) {
      delete entry.unwantedSince;
      return isWantedChange(before, after);
    }
    const now = this.#deps.clock.now();
    entry.unwantedSince ??= now;
    return now - entry.unwantedSince >= budgetDefaults.unwantedAfterMs;
  }
}
