import type { CapacitySettings } from './defaults.js';

/** Averages of the load by pool, in slots. */
export interface SlotAverages {
  /** Average work that one more VM of the pool would serve. */
  marginalGain(pool: string): number;
  /** Average work that the last VM of the pool serves. */
  marginalUse(pool: string): number;
}

/** A move as the costs see it. */
export interface MoveEstimate {
  /** Slots of the VM. */
  slots: number;
  /** Average work that the VM would serve in the target, less what it serves now, in slots. */
  benefit: number;
  /** VMs by which the buffers of both pools grow. */
  bufferGrowth: number;
}

/** Trips that a loan costs: to the borrower and home again. */
const TRIPS = 2;

/** Waiting that a move is expected to save until its horizon, weighted, in slot-milliseconds. */
export function savingOf({ benefit }: MoveEstimate, settings: CapacitySettings): number {
  return settings.waitingWeight * Math.max(0, benefit) * settings.horizonMs;
}

/**
 * Cost of a move, weighted, in slot-milliseconds: the drains of both trips, during which the VM
 * serves nobody, and the slots that its place in the racks adds to the buffers.
 */
export function costOf({ slots, bufferGrowth }: MoveEstimate, settings: CapacitySettings): number {
  const drains = settings.moveWeight * TRIPS * slots * settings.drainMs;
  const buffer = settings.bufferWeight * Math.max(0, bufferGrowth) * slots * settings.horizonMs;
  return drains + buffer;
}

/** Work that a lent VM serves beyond what it would serve at home, in slots. */
export function keepValue(averages: SlotAverages, pool: string, home: string): number {
  return averages.marginalUse(pool) - averages.marginalGain(home);
}

/**
 * Use in slots below which a lent VM is not needed. It is at most half of the benefit from which a
 * VM is lent, so that the same load never asks for both.
 */
export function returnThreshold(slots: number, settings: CapacitySettings): number {
  const { waitingWeight, horizonMs, returnShare } = settings;
  const drains = costOf({ slots, benefit: 0, bufferGrowth: 0 }, settings);
  const lendFrom = waitingWeight === 0 ? Infinity : drains / (waitingWeight * horizonMs);
  return Math.min(returnShare * slots, lendFrom / 2);
}
