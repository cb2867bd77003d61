import type { Resources } from '../batch/types.js';
import { capOf, isBeyondCap, usableGrant } from './budgetDivision.js';
import { isSame, type BudgetEntry, type VersionedLimit } from './budgetEntry.js';
import type { BudgetLimits } from './budgetLimits.js';
import type { BudgetShares } from './budgetShares.js';
import { HeldReason, type StartDecision } from './budgetTypes.js';
import {
  countFitting,
  isNone,
  isWithin,
  minus,
  plus,
  RESOURCE_KINDS,
  smallest,
  sumOf,
} from './resourceMath.js';
import type { Demand, HeldTasks } from './startableDemand.js';

/** Dependencies of {@link StartDecisions}. */
export interface StartDecisionsDeps {
  limits: BudgetLimits;
  shares: BudgetShares;
  maxOverage: number;
}

/** Decides how many tasks may start within the grants. */
export class StartDecisions {
  readonly #limits: BudgetLimits;
  readonly #shares: BudgetShares;
  readonly #maxOverage: number;

  constructor({ limits, shares, maxOverage }: StartDecisionsDeps) {
    this.#limits = limits;
    this.#shares = shares;
    this.#maxOverage = maxOverage;
  }

  /** Decides how many tasks may start; the reason is given if it is not all of them. */
  decide(entry: BudgetEntry, tasks: Omit<HeldTasks, 'account'>): StartDecision {
    const { needs, count, isGang } = tasks;
    const limit = this.#limits.of(entry);
    if (limit === undefined ? this.#shares.isLoaded : isNone(limit.limit))
      return { allowed: count };
    const { blocked } = entry;
    const isBlocked = blocked !== undefined && isWithin(blocked, needs);
    const startable = limit && !isBlocked ? this.#countStartable(entry, limit, needs) : 0;
    const fitting = Math.min(count, startable);
    // Grants do not grow within a round, so larger tasks need no further check.
    if (fitting === 0 && !isBlocked) entry.blocked = needs;
    const allowed = isGang && fitting < count ? 0 : fitting;
    if (allowed === count) return { allowed };
    return { allowed, reason: this.#heldReason(entry, limit, tasks) };
  }

  /** Number of tasks that the grant covers beside the runs that count already. */
  #countStartable(
    entry: BudgetEntry,
    { limit }: VersionedLimit,
    needs: Readonly<Resources>,
  ): number {
    if (!this.#shares.isLoaded || !entry.isOwn) return 0;
    const cap = capOf(limit, this.#maxOverage);
    const granted = this.#shares.grantOf(entry);
    const sum = plus(sumOf(this.#shares.othersOf(entry).map((share) => share.granted)), granted);
    const sure = minus(smallest(granted, entry.pending?.granted ?? granted), entry.returning);
    const used = this.#shares.usedOf(entry);
    const within = (amount: Resources) => countFitting(minus(limitedTo(amount, cap), used), needs);
    if (isWithin(sum, cap)) return within(sure);
    if (!entry.hasOverrun || !isSame(cap, entry.cap)) return within(usableGrant(sure, sum, cap));
    // The part beyond the cap is for the one task with which the account exceeds it.
    const excess = minus(sum, cap);
    const regular = minus(sure, excess);
    if (!isWithin(used, limitedTo(regular, cap))) return 0;
    return Math.min(within(sure), within(regular) + 1);
  }

  #heldReason(
    entry: BudgetEntry,
    limit: VersionedLimit | undefined,
    { needs, count, isGang }: Demand,
  ): HeldReason {
    if (!this.#shares.isLoaded || !limit) return HeldReason.NotRead;
    const cap = capOf(limit.limit, this.#maxOverage);
    if (isGang && isBeyondCap({ needs, count, isGang }, cap)) return HeldReason.GangTooLarge;
    if (!entry.isOwn && this.#shares.shareOf(entry)) return HeldReason.NotTakenOver;
    if (!isNone(entry.returning)) return HeldReason.AboveShare;
    const sum = sumOf([
      ...this.#shares.othersOf(entry).map((s) => s.granted),
      this.#shares.grantOf(entry),
    ]);
    return isWithin(sum, cap) ? HeldReason.NoGrant : HeldReason.OverLimit;
  }
}

/** Removes the kinds without a limit, for which the grant does not matter. */
function limitedTo(amount: Readonly<Resources>, cap: Readonly<Resources>): Resources {
  const result: Resources = { ...amount };
  for (const kind of RESOURCE_KINDS) if (cap[kind] === Infinity) result[kind] = Infinity;
  return result;
}
