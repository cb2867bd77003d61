import { Result } from 'true-myth';
import {
  StoreError,
  StoreErrorCode,
  type FeedRow,
  type Row,
  type RowKey,
  type Transaction,
  type TransactionOutcome,
} from '../batch/ports.js';
import { countRange, isFields, isWholeNumberIn, type Fields } from '../validation/index.js';
import { RelayOperation, type RelayRequest } from './types.js';

/** Longest wait of a feed call, as limited by the store, in milliseconds. */
const MAX_FEED_WAIT_MS = 30_000;

const errorCodes: ReadonlySet<unknown> = new Set(Object.values(StoreErrorCode));

function isRowKey(value: unknown): value is RowKey {
  if (!isFields(value)) return false;
  return [value.table, value.part, value.key].every((text) => typeof text === 'string');
}

function areRows(value: unknown): value is Row[] {
  if (!Array.isArray(value)) return false;
  return value.every((row) => {
    return isRowKey(row) && 'value' in row && typeof row.value === 'string' && hasVersion(row);
  });
}

function hasVersion(value: object): value is { version: number } {
  return 'version' in value && Number.isSafeInteger(value.version);
}

function isTransaction(value: unknown): value is Transaction {
  if (!isFields(value)) return false;
  const { conditions, writes, removes } = value;
  if (!Array.isArray(conditions) || !Array.isArray(writes) || !Array.isArray(removes)) return false;
  return (
    conditions.every((row) => isRowKey(row) && hasVersion(row)) &&
    writes.every((row) => isRowKey(row) && 'value' in row && typeof row.value === 'string') &&
    removes.every(isRowKey)
  );
}

/** Whether a call from another node is meant for the relay. */
export function isRelayCall(body: unknown): boolean {
  return isFields(body) && 'relay' in body;
}

/** Decodes a request from another node; returns undefined if it is malformed. */
export function decodeRelayRequest(body: unknown): RelayRequest | undefined {
  if (!isFields(body)) return undefined;
  const isValid = {
    [RelayOperation.Check]: () => true,
    [RelayOperation.Transact]: () => isTransaction(body.tx),
    [RelayOperation.ReadPart]: () =>
      typeof body.table === 'string' && typeof body.part === 'string',
    [RelayOperation.ReadRow]: () => isRowKey(body.key),
    [RelayOperation.Feed]: () =>
      typeof body.table === 'string' &&
      isWholeNumberIn(body.after, countRange) &&
      isWholeNumberIn(body.waitMs, { min: 0, max: MAX_FEED_WAIT_MS }),
  }[body.relay as RelayOperation] as (() => boolean) | undefined;
  return isValid?.() === true ? (body as unknown as RelayRequest) : undefined;
}

/** Answer of a peer to a relay request. */
export type RelayAnswer =
  { isReachable: boolean } | { value: unknown } | { error: StoreErrorCode; message: string };

/** Encodes the result of an operation as the answer to a request. */
export function encodeResult(res: Result<unknown, StoreError>): RelayAnswer {
  if (res.isOk) return { value: res.value };
  return { error: res.error.code, message: res.error.message };
}

function badAnswer(): Result<never, StoreError> {
  // The peer may have carried the operation out, so the outcome is unknown.
  return Result.err(new StoreError(StoreErrorCode.NoAnswer, 'the answer of a peer is malformed'));
}

function decodeAnswer<T>(
  body: unknown,
  isValue: (value: unknown) => value is T,
): Result<T, StoreError> {
  if (!isFields(body)) return badAnswer();
  if (errorCodes.has(body.error)) {
    const message = typeof body.message === 'string' ? body.message : 'failed at a peer';
    return Result.err(new StoreError(body.error as StoreErrorCode, message));
  }
  return 'value' in body && isValue(body.value) ? Result.ok(body.value) : badAnswer();
}

/** Whether a peer answered that it reaches the store. */
export function isReachableAnswer(body: unknown): boolean {
  return isFields(body) && body.isReachable === true;
}

/** Decodes the answer to a transaction. */
export function decodeOutcome(body: unknown): Result<TransactionOutcome, StoreError> {
  return decodeAnswer(body, (value): value is TransactionOutcome => {
    if (!isFields(value)) return false;
    return value.isApplied === true ? hasVersion(value) : areRows(value.rows);
  });
}

/** Decodes the answer to a read of a partition. */
export function decodeRows(body: unknown): Result<{ rows: Row[]; version: number }, StoreError> {
  return decodeAnswer(body, (value): value is { rows: Row[]; version: number } => {
    return isFields(value) && areRows(value.rows) && hasVersion(value);
  });
}

/** Decodes the answer to a call of the feed. */
export function decodeFeed(
  body: unknown,
): Result<{ rows: FeedRow[]; version: number }, StoreError> {
  return decodeAnswer(body, (value): value is { rows: FeedRow[]; version: number } => {
    if (!isFields(value) || !hasVersion(value)) return false;
    const { rows } = value as Fields;
    return areRows(rows) && rows.every((row) => 'isRemoved' in row);
  });
}

/** Decodes the answer to a read of one row. */
export function decodeRow(body: unknown): Result<Row | undefined, StoreError> {
  const isRow = (value: unknown): value is Row | null | undefined =>
    value === undefined || value === null || areRows([value]);
  return decodeAnswer(body, isRow).map((row) => row ?? undefined);
}
