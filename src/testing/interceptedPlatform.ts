import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { PlatformError, PlatformErrorCode, type PlatformClient } from '../platform/index.js';
import { wrapCalls } from './wrapCalls.js';

/** Fault injected into one platform call. */
export enum CallFault {
  None = 'none',
  /** The call is not sent, and the process gets an error that says so. */
  Down = 'down',
  /** The call takes effect, but its answer is lost. */
  LoseAnswer = 'lose_answer',
  /** The process crashes before the call takes effect; neither this nor a later call settles. */
  CrashBefore = 'crash_before',
  /** The process crashes after the call has taken effect; neither this nor a later call settles. */
  CrashAfter = 'crash_after',
  /** The process pauses before it sends the call. */
  Pause = 'pause',
}

/** A platform call. */
export interface PlatformCall {
  /** Part and method, such as `table.transact`. */
  name: string;
  /** Position among the calls of the process, from 0. */
  index: number;
  args: readonly unknown[];
}

/** Options for {@link interceptPlatform}. */
export interface InterceptOptions {
  clock: Clock;
  /** Duration of {@link CallFault.Pause} in milliseconds. */
  pauseMs: number;
  faultOf: (call: PlatformCall) => CallFault;
}

/** Wraps a platform client to inject faults into individual calls. */
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
          return Result.err(
            new PlatformError(PlatformErrorCode.Unreachable, `${name} was not sent`),
          );
        case CallFault.LoseAnswer:
          await call(...args);
          return Result.err(
            new PlatformError(PlatformErrorCode.OutcomeUnknown, `the answer to ${name} was lost`),
          );
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
