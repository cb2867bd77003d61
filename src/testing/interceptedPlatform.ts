import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { PlatformError, PlatformErrorCode, type PlatformClient } from '../platform/index.js';
import { wrapCalls } from './wrapCalls.js';

/** What happens to one call to the platform. */
export enum CallFault {
  None = 'none',
  /** The call is not sent and the process hears so. */
  Down = 'down',
  /** The call takes effect and its answer is lost. */
  LoseAnswer = 'lose_answer',
  /** The process never goes on; the call has no effect. */
  CrashBefore = 'crash_before',
  /** The call takes effect; the process never goes on. */
  CrashAfter = 'crash_after',
  /** The call is sent only after a pause of the process. */
  Pause = 'pause',
}

/** A call to the platform, such as `table.transact`. */
export interface PlatformCall {
  name: string;
  /** Counts the calls of the process from 0. */
  index: number;
  args: readonly unknown[];
}

/** Options of {@link interceptPlatform}. */
export interface InterceptOptions {
  clock: Clock;
  pauseMs: number;
  faultOf: (call: PlatformCall) => CallFault;
}

/** Wraps a platform client so that faults can be injected into each single call. */
export function interceptPlatform(
  client: PlatformClient,
  options: InterceptOptions,
): PlatformClient {
  let index = 0;
  let hasCrashed = false;

  return wrapCalls(client, (part, method, call) => {
    const name = `${part}.${method}`;
    return async (...args) => {
      const fault = hasCrashed ? CallFault.CrashBefore : options.faultOf({ name, index, args });
      index += 1;
      hasCrashed ||= fault === CallFault.CrashBefore || fault === CallFault.CrashAfter;
      switch (fault) {
        case CallFault.None:
          return call(...args);
        case CallFault.Down:
          return Result.err(new PlatformError(PlatformErrorCode.Unreachable, `${name} not sent`));
        case CallFault.LoseAnswer:
          await call(...args);
          return Result.err(new PlatformError(PlatformErrorCode.OutcomeUnknown, `${name} lost`));
        case CallFault.CrashBefore:
          return new Promise(() => undefined);
        case CallFault.CrashAfter:
          await call(...args);
          return new Promise(() => undefined);
        case CallFault.Pause:
          await options.clock.sleep(options.pauseMs);
          return call(...args);
      }
    };
  });
}
