import { systemClock } from '../clock/index.js';
import { ExitCode, toError } from '../errors/index.js';
import { createEventBus } from '../events/index.js';
import { createLogger, type Logger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom, systemSeed } from '../random/index.js';
import { createEntryProcess } from './createEntryProcess.js';
import type { EntrySettings } from './defaults.js';
import type { EntryContext, EntryProcess } from './types.js';

/**
 * Runs an entry process until SIGTERM or SIGINT, or until a supervised child exceeds its restart
 * limit.
 *
 * @returns the exit code
 */
export async function runEntryProcess(settings: EntrySettings): Promise<ExitCode> {
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
    return ExitCode.Unexpected;
  }
  const exit = await Promise.race([
    stopRequested.then(() => ExitCode.Success),
    entry.failed.catch((err: unknown) => childFailed(logger, err)),
  ]);
  try {
    await entry.stop();
    return exit;
  } catch (err) {
    logger.error({ event: 'stop_failed', error: toError(err).message });
    return exit === ExitCode.Success ? ExitCode.Unexpected : exit;
  }
}

function childFailed(logger: Logger, err: unknown): ExitCode {
  logger.error({ event: 'child_keeps_failing', error: toError(err).message });
  return ExitCode.ChildFailed;
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
