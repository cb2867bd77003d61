import type { Clock, Timer } from './types.js';

/** Functions that a clock is built from; the timer functions match Node's globals. */
export interface TimerFunctions {
  setTimeout(callback: () => void, delayMs: number): unknown;
  clearTimeout(handle: never): void;
  monotonicMs(): number;
  wallMs(): number;
}

/** Longest delay of a timer in milliseconds; Node.js runs one with a longer delay at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Creates a clock from timer functions, either Node's own or those of a virtual clock.
 *
 * @param timers - the timer functions; delays and times are in milliseconds
 */
export function createClock(timers: TimerFunctions): Clock {
  function setTimer(delayMs: number, callback: () => void): Timer {
    const handle = timers.setTimeout(callback, Math.min(MAX_DELAY_MS, delayMs));
    if (typeof handle === 'object' && handle !== null && 'unref' in handle) {
      (handle as { unref(): void }).unref();
    }
    return {
      cancel: () => {
        timers.clearTimeout(handle as never);
      },
    };
  }

  function sleep(delayMs: number, signal?: AbortSignal): Promise<boolean> {
    if (signal?.aborted) return Promise.resolve(false);
    return new Promise((resolve) => {
      const onAbort = () => {
        timer.cancel();
        resolve(false);
      };
      const timer = setTimer(delayMs, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve(true);
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  return { now: () => timers.monotonicMs(), wallTime: () => timers.wallMs(), setTimer, sleep };
}

/** Clock that uses Node's timers and the system time. */
export const systemClock: Clock = createClock({
  setTimeout: (callback, delayMs) => setTimeout(callback, delayMs),
  clearTimeout: (handle) => {
    clearTimeout(handle);
  },
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
});
