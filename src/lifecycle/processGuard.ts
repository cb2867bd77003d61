import type { Clock } from '../clock/index.js';
import { toError } from '../errors/index.js';

/** Errors within {@link ERROR_WINDOW_MS} after which the process ends. */
const MAX_ERRORS = 20;
const ERROR_WINDOW_MS = 60_000;

/** Events by which the runtime reports errors that nothing has handled. */
export enum UnhandledErrorEvent {
  Exception = 'uncaughtException',
  Rejection = 'unhandledRejection',
}

/** Dependencies of {@link guardProcess}. */
export interface ProcessGuardDeps {
  clock: Clock;
  /** Reports an error that nothing has handled. */
  report: (event: UnhandledErrorEvent, err: Error) => void;
  /** Ends the process because errors keep occurring. */
  end: () => void;
}

/**
 * Keeps the process running after an error that nothing has handled, so that one malformed message
 * does not end all its tasks. The process ends when errors keep occurring.
 *
 * @param source - emits the events of {@link UnhandledErrorEvent}; the Node.js process
 */
export function guardProcess(
  source: { on(event: string, listener: (err: unknown) => void): unknown },
  { clock, report, end }: ProcessGuardDeps,
): void {
  let times: number[] = [];
  for (const event of Object.values(UnhandledErrorEvent)) {
    source.on(event, (err) => {
      const now = clock.now();
      times = [...times.filter((time) => now - time < ERROR_WINDOW_MS), now];
      report(event, toError(err));
      if (times.length >= MAX_ERRORS) end();
    });
  }
}
