import FakeTimers from '@sinonjs/fake-timers';
import { createClock, type Clock } from '../clock/index.js';

/** A clock that a test or benchmark advances. */
export interface VirtualClock extends Clock {
  /** Advances virtual time; runs due timers and the promise reactions that they cause. */
  advance(ms: number): Promise<void>;
}

/** Creates fake timers that start at 0 ms, and a clock on them. */
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

/** Creates a virtual clock that starts at 0 ms. The global timers are not replaced. */
export function createVirtualClock(): VirtualClock {
  const { timers, clock } = createFakeTimers();
  const advance = async (ms: number) => {
    await timers.tickAsync(ms);
  };
  return { ...clock, advance };
}
