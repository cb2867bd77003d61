import { systemClock } from '../clock/index.js';
import { InvariantError } from '../errors/index.js';

/** Time in milliseconds after which a condition counts as never met. */
const DEADLINE_MS = 30_000;

/** Time in milliseconds between checks of a condition. */
const POLL_MS = 5;

/** Waits on the machine's clock until a condition holds; throws when it does not within 30 s. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = systemClock.now() + DEADLINE_MS;
  while (!(await condition())) {
    if (systemClock.now() > deadline) throw new InvariantError(`waited in vain for: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
