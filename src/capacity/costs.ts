import type { CapacitySettings } from './defaults.js';

/** Averages of a pool's load at the margin of one VM, in slots. */
export interface MarginalAverages {
  /** Average waiting work that one more VM of the pool would serve. */
  marginalGain(pool: string): number;
  /** Average work that the last VM of the pool serves. */
  marginalUse(pool: string): number;
}

/** Quantities of a move that its saving and cost depend on. */
export interface MoveEstimate {
  /** Slots of the VM. */
  slots: number;
  /** Average work that the VM would serve in the target pool, less what it serves now, in slots. */
  benefit: number;
  /** VMs by which the buffers of both pools together grow. */
  bufferGrowth: number;
}

/** A loan takes two moves: to the borrowing pool and back to the home pool. */
const MOVES_PER_LOAN = 2;

/** Weighted waiting that a move is expected to save within the horizon, in slot-milliseconds. */
export function savingOf({ benefit }: MoveEstimate, settings: CapacitySettings): number {
  return settings.waitingWeight * Math.max(0, benefit) * settings.horizonMs;
}

/**
 * Weighted cost of a move, in slot-milliseconds: the drains of both moves of the loan, during which
 * the VM serves no requests, and the slots by which the buffers grow because of the VM's rack.
 */
export function costOf({ slots, bufferGrowth }: MoveEstimate, settings: CapacitySettings): number {
  const drains = settings.moveWeight * MOVES_PER_LOAN * slots * settings.drainMs;
  const buffer = settings.bufferWeight * Math.max(0, bufferGrowth) * slots * settings.horizonMs;
  return drains + buffer;
}

/** Work that a lent VM serves beyond what it would serve in its home pool, in slots. */
export function loanBenefit(averages: MarginalAverages, pool: string, home: string): number {
  return averages.marginalUse(pool) - averages.marginalGain(home);
}

/**
 * Benefit in slots below which a lent VM counts as unneeded. It is at most half of the benefit from
 * which a VM is lent, so that the same load never justifies both a loan and its return.
 */
export function returnThreshold(slots: number, settings: CapacitySettings): number {
  const { waitingWeight, horizonMs, returnShare } = settings;
  const drains = costOf({ slots, benefit: 0, bufferGrowth: 0 }, settings);
  const minLoanBenefit = waitingWeight === 0 ? Infinity : drains / (waitingWeight * horizonMs);
  return Math.min(returnShare * slots, minLoanBenefit / 2);
}
