/** Window over which the rate of an account's jobs is measured where no settings give one, in ms. */
export const DEFAULT_RATE_WINDOW_MS = 5_000;
