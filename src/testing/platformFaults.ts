import { Result } from 'true-myth';
import {
  PlatformError,
  PlatformErrorCode,
  type PlatformClient,
  type PlatformResult,
} from '../platform/index.js';

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

type Call = (...args: never[]) => PlatformResult<unknown>;

/**
 * Wraps a client so that a function decides about each call.
 *
 * @param decide - receives the part and the name of the call, such as `table` and `transact`
 */
export function withFaults(
  client: PlatformClient,
  decide: (part: string, name: string, args: readonly unknown[]) => CallFault | Promise<CallFault>,
): PlatformClient {
  const wrapCall = (part: string, name: string, call: Call): Call => {
    return async (...args) => {
      const fault = await decide(part, name, args);
      if (fault === CallFault.NotSent) return failure(PlatformErrorCode.Unreachable);
      if (fault === CallFault.LoseCall) return failure(PlatformErrorCode.OutcomeUnknown);
      const result = await call(...args);
      if (fault === CallFault.Misreport) return failure(PlatformErrorCode.Unreachable);
      return fault === CallFault.LoseAnswer ? failure(PlatformErrorCode.OutcomeUnknown) : result;
    };
  };
  const wrapPart = (part: string, calls: object) =>
    Object.fromEntries(
      Object.entries(calls).map(([name, call]) => [name, wrapCall(part, name, call as Call)]),
    );
  const parts = Object.entries(client).filter(([part]) => part !== 'faults');
  return Object.fromEntries(
    parts.map(([part, calls]) => [part, wrapPart(part, calls as object)]),
  ) as unknown as PlatformClient;
}

function failure(code: PlatformErrorCode): Result<never, PlatformError> {
  return Result.err(new PlatformError(code, 'injected fault'));
}
