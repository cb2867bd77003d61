import type { Resources } from '../batch/types.js';
import type { BudgetShare } from './budgetRow.js';
import {
  countFitting,
  floored,
  isEqual,
  isNone,
  isWithin,
  largest,
  minus,
  NO_RESOURCES,
  plus,
  RESOURCE_KINDS,
  smallest,
  sumOf,
  times,
} from './resourceMath.js';
import { demandTotal, largestTask, type Demand } from './startableDemand.js';

/** Part of what nobody has been granted that one holder takes in advance at most. */
const ADVANCE_SHARE = 0.25;
/** Part of what it uses and wants that a holder takes in advance. */
const ADVANCE_OF_USE = 0.5;
/** Part of the advance below which it is renewed; keeps raises few while use grows steadily. */
const RENEW_BELOW = 0.25;

/** Input of the decision about the share of one service in the budget of one account. */
export interface DivisionInput {
  /** What the account may have granted in total; `Infinity` for kinds without a limit. */
  cap: Resources;
  /** Shares of the other services. */
  others: readonly Pick<BudgetShare, 'granted' | 'wanted'>[];
  granted: Resources;
  /** Part of the grant that runs use, or that may be used by runs not yet known. */
  used: Resources;
  /** Tasks that could start now if the grant covered them. */
  demand: readonly Demand[];
  /** Whether the grant contains one task beyond the cap. */
  hasOverrun: boolean;
  mayRaise: boolean;
  /** Whether much of the grant has been unused for long. */
  isSurplusOld: boolean;
}

/** What the holder writes into its share, and how it divides the limit with the others. */
export interface Division {
  granted: Resources;
  wanted: Resources;
  hasOverrun: boolean;
  /**
   * Fair share while another service that is below its own wants more; `Infinity` for kinds that are
   * not contested. The grant of a run that ends above it is returned.
   */
  fairShare: Resources;
}

/** Turns a limit into the cap for the sum of all grants; 0 in the limit means that there is none. */
export function capOf(limit: Readonly<Resources>, maxOverage: number): Resources {
  const cap = (amount: number) => (amount > 0 ? Math.floor(amount * (1 + maxOverage)) : Infinity);
  return {
    cpuMillis: cap(limit.cpuMillis),
    memoryMb: cap(limit.memoryMb),
    accelerators: cap(limit.accelerators),
  };
}

/** Part of a grant that may be used while the sum of all grants is above the cap. */
export function usableGrant(
  granted: Readonly<Resources>,
  sum: Readonly<Resources>,
  cap: Readonly<Resources>,
): Resources {
  const usable: Resources = { ...granted };
  for (const kind of RESOURCE_KINDS) {
    if (sum[kind] > cap[kind]) usable[kind] = (granted[kind] * cap[kind]) / sum[kind];
  }
  return usable;
}

/** Whether a gang is so large that no raise can ever cover it. */
export function isBeyondCap({ needs, count }: Demand, cap: Readonly<Resources>): boolean {
  return RESOURCE_KINDS.some((kind) => needs[kind] > 0 && needs[kind] * (count - 1) >= cap[kind]);
}

/**
 * Divides an amount by max-min fairness.
 *
 * @returns the largest share that anyone gets; smaller demands are met in full
 */
export function maxMinShare(total: number, demands: readonly number[]): number {
  let left = total;
  const ascending = [...demands].sort((a, b) => a - b);
  for (const [index, demand] of ascending.entries()) {
    const share = left / (ascending.length - index);
    if (demand > share) return share;
    left -= demand;
  }
  return Infinity;
}

/** Decides what one holder grants itself, returns and asks for. */
export function divide(input: DivisionInput): Division {
  const { cap, others, granted, used, hasOverrun, mayRaise, isSurplusOld } = input;
  const demand = input.demand.filter((entry) => !entry.isGang || !isBeyondCap(entry, cap));
  const othersGranted = sumOf(others.map((share) => share.granted));
  const othersWanted = sumOf(others.map((share) => share.wanted));
  const sum = plus(othersGranted, granted);
  const fairShare = fairShareOf(cap, others, plus(used, demandTotal(demand)));
  const extended = extend({ ...input, demand }, othersGranted, fairShare);
  const { target } = extended;
  const result = (next: Resources): Division => {
    const wanted = minus(demandTotal(demand), minus(next, used));
    const isOver = !isWithin(plus(othersGranted, next), cap);
    const mayBeOver = hasOverrun || extended.isOverrun;
    return { granted: next, wanted, hasOverrun: isOver && mayBeOver, fairShare };
  };
  if (!isWithin(sum, cap)) {
    const kept = largest(hasOverrun ? target : used, floored(usableGrant(granted, sum, cap)));
    return result(smallest(granted, kept));
  }
  const isContested = RESOURCE_KINDS.some(
    (kind) => othersWanted[kind] > 0 && sum[kind] + othersWanted[kind] > cap[kind],
  );
  const advance = isContested ? { ...NO_RESOURCES } : advanceOf(input, target, demand);
  const desired = plus(target, advance);
  if (isContested) {
    const hasSurplus = RESOURCE_KINDS.some(
      (kind) => othersWanted[kind] > 0 && granted[kind] > target[kind],
    );
    const next = hasSurplus ? target : largest(granted, target);
    return result(mayRaise ? next : smallest(granted, next));
  }
  if (mayRaise && (!isWithin(target, granted) || isAdvanceLow(input, target, advance))) {
    return result(largest(granted, desired));
  }
  if (isSurplusOld) return result(smallest(granted, desired));
  return result(granted);
}

/** Largest part of each kind that this service gets while others that are below theirs want more. */
function fairShareOf(
  cap: Readonly<Resources>,
  others: DivisionInput['others'],
  ownDemand: Readonly<Resources>,
): Resources {
  const fairShare: Resources = { cpuMillis: Infinity, memoryMb: Infinity, accelerators: Infinity };
  for (const kind of RESOURCE_KINDS) {
    if (!others.some(({ wanted }) => wanted[kind] > 0)) continue;
    const demands = others.map(({ granted, wanted }) => granted[kind] + wanted[kind]);
    const share = maxMinShare(cap[kind], [...demands, ownDemand[kind]]);
    const isWantedBelow = others.some(
      ({ granted, wanted }) => wanted[kind] > 0 && granted[kind] < share,
    );
    if (isWantedBelow) fairShare[kind] = share;
  }
  return fairShare;
}

/** Adds to the used part the demand that the grant covers, or that a raise may cover. */
function extend(
  { cap, granted, used, demand, hasOverrun, mayRaise }: DivisionInput,
  othersGranted: Readonly<Resources>,
  fairShare: Readonly<Resources>,
): { target: Resources; isOverrun: boolean } {
  let target: Resources = { ...used };
  let isOverrun = hasOverrun;
  for (const { needs, count, isGang } of demand) {
    const fair = countUpToShare(target, needs, fairShare);
    const owned = countFitting(minus(granted, target), needs);
    const raised = mayRaise ? countFitting(minus(cap, plus(othersGranted, target)), needs) : 0;
    let fitting = Math.min(count, fair, Math.max(owned, raised));
    const reached = plus(othersGranted, plus(target, times(needs, fitting)));
    const isOneMoreAllowed = mayRaise && !isOverrun && isBelow(reached, cap, needs);
    const needsOneMore = fitting < count && fitting < fair;
    const isOneMoreTaken = needsOneMore && isOneMoreAllowed && (!isGang || fitting + 1 === count);
    if (isOneMoreTaken) {
      fitting++;
      isOverrun = true;
    }
    if (isGang && fitting < count) fitting = 0;
    target = plus(target, times(needs, fitting));
  }
  return { target, isOverrun };
}

/** Number of tasks that may begin below the fair share; the last of them may exceed it. */
function countUpToShare(
  target: Readonly<Resources>,
  needs: Readonly<Resources>,
  fairShare: Readonly<Resources>,
): number {
  let count = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (needs[kind] <= 0 || fairShare[kind] === Infinity) continue;
    count = Math.min(count, Math.ceil(Math.max(0, fairShare[kind] - target[kind]) / needs[kind]));
  }
  return count;
}

/** Whether the sum of all grants is below the cap, so that it may exceed it by one task. */
function isBelow(
  sum: Readonly<Resources>,
  cap: Readonly<Resources>,
  needs: Readonly<Resources>,
): boolean {
  return RESOURCE_KINDS.every((kind) =>
    needs[kind] > 0 ? sum[kind] < cap[kind] : sum[kind] <= cap[kind],
  );
}

/** What to take in advance, so that the next starts need no write. */
function advanceOf(
  { cap, others, mayRaise }: DivisionInput,
  target: Readonly<Resources>,
  demand: readonly Demand[],
): Resources {
  if (!mayRaise || isNone(target)) return { ...NO_RESOURCES };
  const claimed = sumOf(others.flatMap(({ granted, wanted }) => [granted, wanted]));
  const unallocated = minus(cap, plus(claimed, target));
  const useful = largest(times(target, ADVANCE_OF_USE), largestTask(demand));
  return floored(smallest(times(unallocated, ADVANCE_SHARE), useful));
}

/** Whether so little of the advance is left that it should be renewed before starts wait for it. */
function isAdvanceLow(
  { cap, granted }: DivisionInput,
  target: Readonly<Resources>,
  advance: Readonly<Resources>,
): boolean {
  return RESOURCE_KINDS.some((kind) => {
    if (cap[kind] === Infinity || target[kind] === 0) return false;
    // An advance far smaller than what runs would be renewed for each start.
    if (advance[kind] < target[kind] * ADVANCE_SHARE) return false;
    return granted[kind] - target[kind] < advance[kind] * RENEW_BELOW;
  });
}

/** Whether a change of what a service wants is large enough to be written. */
export function isWantedChange(before: Readonly<Resources>, after: Readonly<Resources>): boolean {
  if (isEqual(before, after)) return false;
  return RESOURCE_KINDS.some(
    (kind) =>
      before[kind] > 0 !== after[kind] > 0 ||
      after[kind] > before[kind] * 2 ||
      after[kind] * 2 < before[kind],
  );
}
