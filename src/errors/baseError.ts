/**
 * Base class of all errors of the system. Each subclass has its own enum of codes, by which errors
 * are matched, counted and logged.
 */
export abstract class BaseError<Code extends string> extends Error {
  readonly code: Code;

  /**
   * @param code - identifies the kind of failure
   * @param message - describes the input and what was expected
   * @param cause - the underlying error, if any
   */
  constructor(code: Code, message: string, cause?: unknown) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
    this.code = code;
  }
}

/** Signals a bug: the program reached a state that correct code never reaches. */
export class InvariantError extends BaseError<'invariant'> {
  constructor(message: string) {
    super('invariant', message);
  }
}

/** Returns the message of a thrown value, whether or not it is an Error. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Returns a thrown value as an Error; any other value is wrapped in an InvariantError. */
export function toError(err: unknown): Error {
  return err instanceof Error ? err : new InvariantError(String(err));
}
