/** A direct call that takes longer is repeated through a peer if the store is suspect by then. */
export const OVERDUE_MS = 450;
/** Interval at which the direct path is tried while a peer relays. */
export const PROBE_INTERVAL_MS = 1_000;
/** Timeout of a relayed call, beyond the wait of a long poll. */
export const RELAY_TIMEOUT_MS = 700;
/** Timeout for asking a peer whether it reaches the store. */
export const CHECK_TIMEOUT_MS = 150;
/** Number of peers that are asked at a time. */
export const CHECKED_PEERS = 3;
/** Pause after a search in which no peer reached the store, as in an outage of the whole store. */
export const SEARCH_PAUSE_MS = 500;
