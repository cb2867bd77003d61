import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type { PlatformResult, Row, Table } from '../platform/index.js';
import { ZONE_PAGE_SIZE, zonePrefix } from './registration.js';

/** Dependencies of {@link createMemberRowSweep}. */
export interface MemberRowSweepDeps {
  table: Table;
  clock: Clock;
  zone: string;
  /** Time in milliseconds for which a member must be unknown before its row is deleted. */
  staleAfterMs: number;
  /** Whether a name belongs to this process or to a current member. */
  isKnown: (name: string) => boolean;
}

/** A row of a member that is not known. */
interface UnknownRow {
  version: number;
  firstSeenAt: number;
}

/**
 * Creates a function that deletes member rows left behind by crashed processes and returns the
 * number of deleted rows. Deleting the row of a process that is only partitioned does no harm: the
 * process writes its row again, and draining a VM does not rely on the row alone.
 */
export function createMemberRowSweep(deps: MemberRowSweepDeps): () => PlatformResult<number> {
  const { table, clock, zone, staleAfterMs, isKnown } = deps;
  const prefix = zonePrefix(zone);
  let unknownRows = new Map<string, UnknownRow>();

  function isStale({ key, version }: Row): boolean {
    const tracked = unknownRows.get(key);
    return tracked?.version === version && clock.now() - tracked.firstSeenAt >= staleAfterMs;
  }

  function trackUnknownRows(rows: readonly Row[]): void {
    const next = new Map<string, UnknownRow>();
    for (const { key, version } of rows) {
      const tracked = unknownRows.get(key);
      next.set(key, tracked?.version === version ? tracked : { version, firstSeenAt: clock.now() });
    }
    unknownRows = next;
  }

  return async () => {
    const page = await table.scan(prefix, ZONE_PAGE_SIZE);
    if (page.isErr) return Result.err(page.error);
    const rows = page.value.rows.filter(({ key }) => !isKnown(key.slice(prefix.length)));
    trackUnknownRows(rows);
    const stale = rows.filter(isStale);
    if (stale.length === 0) return Result.ok(0);
    const conditions = stale.map(({ key, version }) => ({ key, version }));
    const writes = stale.map(({ key }) => ({ key }));
    return (await table.transact(conditions, writes)).map(() => stale.length);
  };
}
