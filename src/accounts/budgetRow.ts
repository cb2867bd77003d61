import { Result } from 'true-myth';
import type { RowKey } from '../batch/ports.js';
import type { Resources } from '../batch/types.js';
import { BaseError } from '../errors/index.js';
import {
  countRange,
  epochRange,
  isFields,
  isNumberIn,
  isTextList,
  isWholeNumberIn,
} from '../validation/index.js';
import { RESOURCE_KINDS } from './resourceMath.js';

/** Table and partition of the budget rows; the key of a row is the name of its account. */
export const BUDGET_TABLE = 'account_budget';
export const BUDGET_PART = '@accounts';

/** Key of the budget row of an account. */
export const budgetKey = (account: string): RowKey => ({
  table: BUDGET_TABLE,
  part: BUDGET_PART,
  key: account,
});

/** What one service may run for an account, written by the holder of the service only. */
export interface BudgetShare {
  /** Epoch of the holder that wrote it. */
  epoch: number;
  granted: Resources;
  /** What tasks that could start now request beyond the grant. */
  wanted: Resources;
}

/** The budget of an account, shared by all services. */
export interface BudgetRow {
  /** Version of the configuration that the limit is from. */
  version: number;
  /** 0 means no limit for that resource. */
  limit: Resources;
  /** Shares by service. */
  shares: Record<string, BudgetShare>;
  /**
   * Services whose share is unknown, because the row was lost or the account had no limit before.
   * Nothing may be raised until their holders have entered what they run.
   */
  missing?: string[];
}

/** Codes of {@link BudgetError}. */
export enum BudgetErrorCode {
  /** The value of a row is no JSON. */
  NotJson = 'not_json',
  /** A field is missing or has the wrong type. */
  BadField = 'bad_field',
}

/** A budget row cannot be read. */
export class BudgetError extends BaseError<BudgetErrorCode> {}

/** Encodes the value of a budget row. */
export function encodeBudget({ version, limit, shares, missing }: BudgetRow): string {
  return JSON.stringify({
    version,
    limit,
    shares,
    ...(missing && missing.length > 0 ? { missing } : {}),
  });
}

/** Decodes the value of a budget row. */
export function decodeBudget(value: string): Result<BudgetRow, BudgetError> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch (err) {
    return Result.err(
      new BudgetError(BudgetErrorCode.NotJson, 'the value of a budget row is no JSON', err),
    );
  }
  const bad = (field: string): Result<BudgetRow, BudgetError> =>
    Result.err(new BudgetError(BudgetErrorCode.BadField, `${field} of a budget row is malformed`));
  if (!isFields(parsed)) return bad('value');
  const { version, limit, shares, missing } = parsed;
  if (!isWholeNumberIn(version, countRange)) return bad('version');
  if (!isResources(limit)) return bad('limit');
  if (!isFields(shares)) return bad('shares');
  const decoded: Record<string, BudgetShare> = {};
  for (const [service, share] of Object.entries(shares)) {
    if (!isShare(share)) return bad(`share of ${service}`);
    decoded[service] = share;
  }
  if (missing === undefined) return Result.ok({ version, limit, shares: decoded });
  if (!isTextList(missing)) return bad('missing');
  return Result.ok({ version, limit, shares: decoded, missing });
}

/** Sums of amounts over all workers. */
const isAmount = (value: unknown): value is number => isNumberIn(value, countRange);

function isResources(value: unknown): value is Resources {
  return isFields(value) && RESOURCE_KINDS.every((kind) => isAmount(value[kind]));
}

function isShare(value: unknown): value is BudgetShare {
  return (
    isFields(value) &&
    isWholeNumberIn(value.epoch, epochRange) &&
    isResources(value.granted) &&
    isResources(value.wanted)
  );
}
