import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { BaseError } from '../errors/index.js';
import { PlatformErrorCode, type PlatformError, type Row, type Table } from '../platform/index.js';
import type { RequestsSettings } from './defaults.js';
import { withDeadline } from './withDeadline.js';

/** Codes of {@link ClaimError}. */
export enum ClaimErrorCode {
  /** The platform cannot be reached; the claim was not written. */
  Unavailable = 'unavailable',
  /** The rate limit of platform calls is exhausted; the claim was not written. */
  RateLimited = 'rate_limited',
  /** It is not known which request id holds the key. */
  Unresolved = 'unresolved',
  DeadlineExpired = 'deadline_expired',
}

/** An idempotency key could not be claimed. No request was sent to a backend server for it. */
export class ClaimError extends BaseError<ClaimErrorCode> {}

/** Value of the row `claim/<team>/<key>`. */
export interface ClaimValue {
  requestId: string;
  /** Wall-clock time in milliseconds after which the row may be deleted. */
  expiry: number;
}

/** Parameters of {@link claimKey}. */
export interface ClaimDeps {
  table: Table;
  clock: Clock;
  settings: RequestsSettings;
  /** Called before each platform call. */
  onPlatformCall: (kind: 'read' | 'write') => void;
}

/** Key prefix of the claim rows. */
export const CLAIM_PREFIX = 'claim/';

/** Returns the key of the row that holds the claim of an idempotency key. */
export function claimRowKey(team: string, key: string): string {
  return `${CLAIM_PREFIX}${encodeURIComponent(team)}/${encodeURIComponent(key)}`;
}

/**
 * Claims an idempotency key for a request id. If the result of an insert is lost, the row is read
 * back and the insert is repeated; inserting the same id twice is harmless.
 *
 * @param deadline - monotonic time in milliseconds
 * @returns the request id that holds the key: `requestId`, or the id of an earlier claim
 */
export async function claimKey(
  deps: ClaimDeps,
  rowKey: string,
  requestId: string,
  deadline: number,
): Promise<Result<string, ClaimError>> {
  const { table, clock, settings } = deps;
  const value: ClaimValue = { requestId, expiry: clock.wallTime() + settings.claimRetentionMs };
  for (let attempt = 0; attempt < settings.claimAttempts; attempt += 1) {
    if (clock.now() >= deadline) return deadlineExpired(rowKey);
    deps.onPlatformCall('write');
    const insert = table.transact([{ key: rowKey, version: 0 }], [{ key: rowKey, value }]);
    const inserted = await withDeadline(clock, deadline, insert);
    if (!inserted) return deadlineExpired(rowKey);
    if (inserted.isOk) return Result.ok(requestId);
    const failure = toNoEffectError(inserted.error);
    if (failure) return Result.err(failure);

    deps.onPlatformCall('read');
    const read = await withDeadline(clock, deadline, table.get(rowKey));
    if (!read) return deadlineExpired(rowKey);
    if (read.isErr) {
      const message = `claim ${rowKey} cannot be read back: ${read.error.message}`;
      return Result.err(new ClaimError(ClaimErrorCode.Unresolved, message, read.error));
    }
    const holder = holderOf(read.value);
    if (holder !== undefined) return Result.ok(holder);
  }
  const message = `claim ${rowKey} was not confirmed after ${settings.claimAttempts} attempts`;
  return Result.err(new ClaimError(ClaimErrorCode.Unresolved, message));
}

function deadlineExpired(rowKey: string): Result<string, ClaimError> {
  const message = `the deadline passed while claiming ${rowKey}`;
  return Result.err(new ClaimError(ClaimErrorCode.DeadlineExpired, message));
}

/** Returns an error if the insert certainly had no effect and need not be read back. */
function toNoEffectError(err: PlatformError): ClaimError | undefined {
  switch (err.code) {
    case PlatformErrorCode.Unreachable:
    case PlatformErrorCode.Refused:
    case PlatformErrorCode.OtherIncarnation:
      return new ClaimError(ClaimErrorCode.Unavailable, err.message, err);
    case PlatformErrorCode.RateLimited:
      return new ClaimError(ClaimErrorCode.RateLimited, err.message, err);
    default:
      return undefined;
  }
}

function holderOf(row: Row | undefined): string | undefined {
  const value = row?.value as Partial<ClaimValue> | undefined;
  return typeof value?.requestId === 'string' ? value.requestId : undefined;
}
