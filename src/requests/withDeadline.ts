import type { Clock } from '../clock/index.js';

/**
 * Waits for a promise until a deadline passes or a signal is aborted. The promise must not reject.
 *
 * @param deadline - monotonic time in milliseconds
 * @returns the value, or undefined when the deadline or the signal came first
 */
export function withDeadline<T>(
  clock: Clock,
  deadline: number,
  promise: Promise<T>,
  signal?: AbortSignal,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const settle = (value?: T) => {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
      resolve(value);
    };
    const onAbort = () => {
      settle();
    };
    const timer = clock.setTimer(Math.max(0, deadline - clock.now()), onAbort);
    signal?.addEventListener('abort', onAbort, { once: true });
    if (signal?.aborted) settle();
    void promise.then(settle);
  });
}
