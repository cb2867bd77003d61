import { BaseError } from '../errors/index.js';

/** Codes of {@link AccountError}. */
export enum AccountErrorCode {
  /** The list of accounts is not a list. */
  InvalidList = 'invalid_account_list',
  /** A field of an account is missing or has the wrong type or range. */
  InvalidEntry = 'invalid_account',
  /** Two accounts have the same name. */
  DuplicateName = 'duplicate_account',
  /** Two accounts have the same key. */
  SharedKey = 'shared_key',
}

/** The accounts of a configuration are malformed. Messages name the field, never a key. */
export class AccountError extends BaseError<AccountErrorCode> {}

/** Codes of {@link KeyRefusal}. */
export enum KeyRefusalReason {
  /** The request has no key, and its queue is not public. */
  MissingKey = 'missing_key',
  /** The configuration in force does not contain the key. */
  UnknownKey = 'unknown_key',
  /** The configuration is too old to decide on the key; a later request may be accepted. */
  StaleConfig = 'stale_config',
}

/** A request is not authorized; nothing was done for it. */
export class KeyRefusal extends BaseError<KeyRefusalReason> {
  /** Milliseconds after which the caller should retry; undefined if a retry is of no use. */
  readonly retryAfterMs: number | undefined;

  constructor(reason: KeyRefusalReason, message: string, retryAfterMs?: number) {
    super(reason, message);
    this.retryAfterMs = retryAfterMs;
  }
}
