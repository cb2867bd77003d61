/** A pending timer that can be cancelled. */
export interface Timer {
  /** Cancels the timer. Does nothing when it already fired. */
  cancel(): void;
}

/** Source of time. Production code uses {@link systemClock}; tests and benchmarks pass virtual time. */
export interface Clock {
  /** Monotonic time in milliseconds; differences are meaningful, the origin is not. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch; never used for deadlines or leases. */
  wallTime(): number;
  /** Calls `callback` once after `delayMs` milliseconds. The timer does not keep the process alive. */
  setTimer(delayMs: number, callback: () => void): Timer;
  /**
   * Resolves after `delayMs` milliseconds, or early when `signal` is aborted.
   *
   * @returns true when the delay elapsed, false when the signal was aborted first
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<boolean>;
}
