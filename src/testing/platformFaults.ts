import { Result } from 'true-myth';
import { PlatformError, PlatformErrorCode, type PlatformClient } from '../platform/index.js';
import { wrapCalls } from './wrapCalls.js';

/** What happens to one call. */
export enum CallFault {
  None = 'none',
  /** It takes effect and its answer is lost. */
  LoseAnswer = 'lose_answer',
  /** It is not sent. */
  NotSent = 'not_sent',
  /** It takes effect and is wrongly reported as not sent; no correct client does this. */
  Misreport = 'misreport',
  /** It is lost on the way: no effect, no answer. */
  LoseCall = 'lose_call',
}

/**
 * Wraps a client so that a function decides about each call.
 *
 * @param decide - receives the part and the name of the call, such as `table` and `transact`
 */
export function withFaults(
  client: PlatformClient,
  decide: (part: string, name: string, args: readonly unknown[]) => CallFault | Promise<CallFault>,
): PlatformClient {
  return wrapCalls(client, (part, name, call) => async (...args) => {
    const fault = await decide(part, name, args);
    if (fault === CallFault.NotSent) return failure(PlatformErrorCode.Unreachable);
    if (fault === CallFault.LoseCall) return failure(PlatformErrorCode.OutcomeUnknown);
    const result = await call(...args);
    if (fault === CallFault.Misreport) return failure(PlatformErrorCode.Unreachable);
    return fault === CallFault.LoseAnswer ? failure(PlatformErrorCode.OutcomeUnknown) : result;
  });
}

function failure(code: PlatformErrorCode): Result<never, PlatformError> {
  return Result.err(new PlatformError(code, 'injected fault'));
}
