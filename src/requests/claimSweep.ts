import { Result } from 'true-myth';
import type { PlatformResult, Row, Table } from '../platform/index.js';
import { CLAIM_PREFIX, type ClaimValue } from './claims.js';

/** Result of sweeping one page. */
export interface ClaimSweep {
  swept: number;
  /** Key after which the next page starts; undefined after the last page. */
  next?: string;
}

/**
 * Deletes the expired claims of one page. If one of them changes concurrently, none is deleted; the
 * next sweep reads the page again.
 *
 * @param now - wall-clock time in milliseconds
 * @param after - key after which the page starts
 * @param limit - maximum number of rows in the page
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
