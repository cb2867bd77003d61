import FakeTimers from '@sinonjs/fake-timers';
import { createClock, type Clock } from '../clock/index.js';

/** A clock under the control of a test or benchmark. */
export interface VirtualClock extends Clock {
  /** Advances virtual time by `ms` milliseconds, running due timers and the promises they settle. */
  advance(ms: number): Promise<void>;
}

/** Creates virtual timers that start at 0 ms, and a clock that runs on them. */
export function createFakeTimers() {
  const timers = FakeTimers.createClock(0);
  const clock = createClock({
    setTimeout: (callback, delayMs) => timers.setTimeout(callback, delayMs),
    clearTimeout: (handle) => {
      timers.clearTimeout(handle);
    },
    monotonicMs: () => timers.now,
    wallMs: () => timers.now,
  });
  return { timers, clock };
}

/** Creates a virtual clock that starts at 0 ms. It does not touch the global timers. */
export function createVirtualClock(): VirtualClock {
  const { timers, clock } = createFakeTimers();
  const advance = async (ms: number) => {
    await timers.tickAsync(ms);
  };
  return { ...clock, advance };
}
