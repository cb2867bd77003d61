import { systemClock } from '../clock/index.js';
import { toError } from '../errors/index.js';
import { createEventBus } from '../events/index.js';
import { createLogger, type Logger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom, systemSeed } from '../random/index.js';
import { createEntryProcess } from './createEntryProcess.js';
import type { EntrySettings } from './defaults.js';
import type { EntryContext, EntryProcess } from './types.js';

/** How an entry process ended; the values are exit codes of the program. */
export enum EntryExit {
  /** Graceful shutdown after a signal. */
  Stopped = 0,
  /** The process could not be started, or its shutdown failed. */
  Failed = 1,
  /** A supervised child kept failing. */
  ChildFailed = 70,
}

/**
 * Runs an entry process until SIGTERM or SIGINT, or until a child keeps failing.
 *
 * @returns the exit code
 */
export async function runEntryProcess(settings: EntrySettings): Promise<EntryExit> {
  const logger = await createLogger({ level: settings.logLevel });
  const ctx: EntryContext = {
    settings,
    logger,
    clock: systemClock,
    random: createRandom(systemSeed()),
    metrics: new Metrics(),
    events: createEventBus(),
  };
  const stopRequested = nextSignal();
  let entry: EntryProcess;
  try {
    entry = await createEntryProcess(ctx);
  } catch (err) {
    logger.error({ event: 'start_failed', error: toError(err).message });
    return EntryExit.Failed;
  }
  const exit = await Promise.race([
    stopRequested.then(() => EntryExit.Stopped),
    entry.failed.catch((err: unknown) => childFailed(logger, err)),
  ]);
  try {
    await entry.stop();
    return exit;
  } catch (err) {
    logger.error({ event: 'stop_failed', error: toError(err).message });
    return exit === EntryExit.Stopped ? EntryExit.Failed : exit;
  }
}

function childFailed(logger: Logger, err: unknown): EntryExit {
  logger.error({ event: 'child_keeps_failing', error: toError(err).message });
  return EntryExit.ChildFailed;
}

function nextSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve();
      });
    }
  });
}
