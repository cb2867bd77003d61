import { systemClock } from '../clock/index.js';
import { InvariantError } from '../errors/index.js';

/** Longest wait for a condition, in milliseconds. */
const TIMEOUT_MS = 30_000;

/** Interval between checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Waits on the system clock until a condition holds; throws if it does not hold within 30 s. */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = systemClock.now() + TIMEOUT_MS;
  while (!(await condition())) {
    if (systemClock.now() > deadline)
      throw new InvariantError(`condition not met within 30 s: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
