import { Result } from 'true-myth';
import type { PlatformResult, Row, Table } from '../platform/index.js';
import { CLAIM_PREFIX, type ClaimValue } from './claims.js';

/** Result of sweeping one page. */
export interface ClaimSweep {
  swept: number;
  /** Where the next page starts; undefined after the last one. */
  next?: string;
}

/**
 * Deletes the expired claims of one page. A claim that was renewed or replaced meanwhile keeps its
 * page from being swept; the next round finds it again.
 *
 * @param now - wall-clock time in milliseconds
 * @param after - key after which the page starts
 * @param limit - rows in the page
 */
export async function sweepClaims(
  table: Table,
  now: number,
  after: string | undefined,
  limit: number,
): PlatformResult<ClaimSweep> {
  const page = await table.scan(CLAIM_PREFIX, limit, after);
  if (page.isErr) return Result.err(page.error);
  const { rows, next } = page.value;
  const expired = rows.filter((row) => isExpired(row, now));
  if (expired.length === 0) return Result.ok({ swept: 0, next });
  const conditions = expired.map(({ key, version }) => ({ key, version }));
  const deleted = await table.transact(
    conditions,
    expired.map(({ key }) => ({ key })),
  );
  return deleted.map(() => ({ swept: expired.length, next }));
}

function isExpired({ value }: Row, now: number): boolean {
  return (value as ClaimValue).expiry < now;
}
