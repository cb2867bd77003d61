import { Result } from 'true-myth';
import type { PlatformResult, Row, Table } from '../platform/index.js';
import { jobKeys } from './rows.js';
import type { JobRecord } from './types.js';

/** Outcome of sweeping one page of ended jobs. */
export interface EndedJobSweep {
  /** Number of deleted jobs. */
  swept: number;
  /** Key after which the next page starts; undefined after the last page. */
  next?: string;
}

/**
 * Deletes the rows of ended jobs that were submitted before the given time. The ids of these jobs
 * can be used again, and their results can no longer be looked up.
 *
 * @param submittedBefore - wall-clock time in milliseconds
 * @param after - key after which the page starts
 * @param limit - maximum number of rows in the page
 */
export async function sweepEndedJobs(
  table: Table,
  zone: string,
  submittedBefore: number,
  after: string | undefined,
  limit: number,
): PlatformResult<EndedJobSweep> {
  const page = await table.scan(jobKeys.endedPrefix(zone), limit, after);
  if (page.isErr) return Result.err(page.error);
  const { rows, next } = page.value;
  const expired = rows.filter((row) => recordOf(row).submittedAt < submittedBefore);
  if (expired.length === 0) return Result.ok({ swept: 0, next });
  const deleted = await table.transact(
    expired.map(({ key, version }) => ({ key, version })),
    expired.flatMap((row) => [{ key: row.key }, { key: jobKeys.id(recordOf(row).id) }]),
  );
  return deleted.map(() => ({ swept: expired.length, next }));
}

function recordOf({ value }: Row): JobRecord {
  return value as JobRecord;
}
