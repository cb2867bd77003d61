import type { Clock } from '../clock/index.js';

/**
 * Waits for a promise until the deadline passes or the signal is aborted. The promise must not
 * reject.
 *
 * @param deadline - monotonic time in milliseconds
 * @returns the value, or undefined if the deadline passed or the signal was aborted first
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
