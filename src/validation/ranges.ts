import type { NumberRange } from './types.js';

/**
 * Longest duration that is computed with, in milliseconds: 365 days. Longer ones from outside add up
 * to infinite work and overflow timers.
 */
export const MAX_DURATION_MS = 31_536_000_000;

/** Durations in milliseconds. */
export const durationRange: NumberRange = { min: 0, max: MAX_DURATION_MS };

/**
 * Amounts of a resource of one VM or task: thousandths of a core, MiB or accelerators. The sums over
 * all VMs of the largest deployments stay exact.
 */
export const amountRange: NumberRange = { min: 0, max: 1e9 };

/** Counts and indexes. */
export const countRange: NumberRange = { min: 0, max: Number.MAX_SAFE_INTEGER };

/** Unix times and readings of clocks, in milliseconds. */
export const timeRange: NumberRange = { min: 0, max: 8.64e15 };

/** Numbers of runs; they grow with the epoch of the holder. */
export const runNumberRange: NumberRange = { min: 1, max: 1e15 };

/** Epochs of holders, which are also the fencing tokens. */
export const epochRange: NumberRange = { min: 1, max: 1e9 };
