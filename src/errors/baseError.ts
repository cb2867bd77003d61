/**
 * Base of every failure in the system. Subclasses fix an enum of codes, so that a failure can be
 * matched on, counted and logged by its code.
 */
export abstract class BaseError<Code extends string> extends Error {
  readonly code: Code;

  /**
   * @param code - what failed
   * @param message - names the input and what was expected
   * @param cause - the underlying failure, if any
   */
  constructor(code: Code, message: string, cause?: unknown) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
    this.code = code;
  }
}

/** A failure of the program itself: a state that correct code never reaches. */
export class InvariantError extends BaseError<'invariant'> {
  constructor(message: string) {
    super('invariant', message);
  }
}

/** Returns the message of anything thrown. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Turns anything thrown into an Error. */
export function toError(err: unknown): Error {
  return err instanceof Error ? err : new InvariantError(String(err));
}
