/** A pending timer that can be cancelled. */
export interface Timer {
  /** Cancels the timer. Has no effect once the timer has fired. */
  cancel(): void;
}

/** Source of time: {@link systemClock} in production, a virtual clock in tests and benchmarks. */
export interface Clock {
  /** Monotonic time in milliseconds, with an arbitrary origin; for durations and deadlines. */
  now(): number;
  /**
   * Wall-clock time in milliseconds since the Unix epoch. It may jump, so it must not be used for
   * deadlines or leases.
   */
  wallTime(): number;
  /** Calls `callback` once after `delayMs` milliseconds, without keeping the process alive. */
  setTimer(delayMs: number, callback: () => void): Timer;
  /**
   * Resolves after `delayMs` milliseconds, or early when `signal` is aborted.
   *
   * @returns true when the delay elapsed, false when the signal was aborted first
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<boolean>;
}
