/** Longest interval between two placement rounds of a holder that is not overloaded, in ms. */
export const ROUND_INTERVAL_MS = 100;
/**
 * Longest wait for a rack, in milliseconds. The limit is 2 s; the remainder covers the interval
 * between two placement rounds.
 */
export const MAX_WAIT_MS = 2_000 - ROUND_INTERVAL_MS;
/**
 * Share of its elapsed time that a run which has exceeded its predicted run time is expected to
 * take on top. A run that is several times overdue is not expected to end soon.
 */
export const OVERRUN_SHARE = 0.2;
/** Tasks that may wait for one rack in a round; bounds the duration of a round. */
export const MAX_WAITS_PER_RACK = 64;
/**
 * Free share of the CPU on all racks below which capacity is scarce. A task that starts elsewhere then
 * takes the capacity of tasks that would run there at full speed, which start elsewhere in turn.
 */
export const SCARCE_SHARE = 0.1;
