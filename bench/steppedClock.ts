import type { Clock } from '../src/clock/index.js';
import { createFakeTimers } from '../src/testing/index.js';

/** Virtual clock for simulations with many timers. */
export interface SteppedClock extends Clock {
  /** Fires all timers that are due until `untilMs`, and runs the promise reactions they cause. */
  runUntil(untilMs: number): Promise<void>;
}

/** Length of the longest promise chain that settles before the next timer fires. */
const MICROTASKS_PER_TIMER = 12;

/**
 * Creates a virtual clock that starts at 0 ms. Between two timers it awaits microtasks
 * instead of an iteration of the event loop, which costs more than most of the simulated steps.
 */
export function createSteppedClock(): SteppedClock {
  const { timers, clock } = createFakeTimers();
  const runUntil = async (untilMs: number) => {
    const end = { isReached: false };
    clock.setTimer(untilMs - timers.now, () => {
      end.isReached = true;
    });
    while (!end.isReached) {
      timers.next();
      for (let step = 0; step < MICROTASKS_PER_TIMER; step++) await Promise.resolve();
    }
  };
  return { ...clock, runUntil };
}
