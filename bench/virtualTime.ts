import FakeTimers from '@sinonjs/fake-timers';
import { createClock, type Clock } from '../src/clock/index.js';

/** Ticks of the fake timers per virtual millisecond. Timers fire at whole ticks. */
const STEPS_PER_MS = 100;

/** Virtual time of a simulation. */
export interface SimulatedTime {
  clock: Clock;
  /** Fires timers in order, and runs the promise reactions they cause, until `endMs`. */
  runUntil(endMs: number): Promise<void>;
}

/** Creates virtual time that starts at 0 ms and is independent of the system clock. */
export function createSimulatedTime(): SimulatedTime {
  const timers = FakeTimers.createClock(0);
  const clock = createClock({
    setTimeout: (callback, delayMs) =>
      timers.setTimeout(callback, Math.ceil(delayMs * STEPS_PER_MS)),
    clearTimeout: (handle) => {
      timers.clearTimeout(handle);
    },
    monotonicMs: () => timers.now / STEPS_PER_MS,
    wallMs: () => timers.now / STEPS_PER_MS,
  });
  const runUntil = async (endMs: number) => {
    while (timers.countTimers() > 0 && clock.now() < endMs) {
      timers.next();
      await settlePromises();
    }
  };
  return { clock, runUntil };
}

/** Resolves once all pending promise reactions have run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
