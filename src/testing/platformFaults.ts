import { Result } from 'true-myth';
import { PlatformError, PlatformErrorCode, type PlatformClient } from '../platform/index.js';
import { wrapCalls } from './wrapCalls.js';

/** Fault injected into one platform call. */
export enum CallFault {
  None = 'none',
  /** The call takes effect, but its answer is lost. */
  LoseAnswer = 'lose_answer',
  /** The call is not sent. */
  NotSent = 'not_sent',
  /** The call takes effect but is wrongly reported as not sent; no correct client does this. */
  Misreport = 'misreport',
  /** The call is lost in transit; it has no effect and gets no answer. */
  LoseCall = 'lose_call',
}

/**
 * Wraps a platform client to inject a fault into each call.
 *
 * @param decide - chooses the fault; receives part and method, such as `table` and `transact`
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
