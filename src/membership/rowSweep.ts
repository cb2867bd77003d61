import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type { PlatformResult, Row, Table } from '../platform/index.js';
import { ZONE_PAGE_SIZE, zonePrefix } from './registration.js';

/** What {@link createMemberRowSweep} works with. */
export interface MemberRowSweepDeps {
  table: Table;
  clock: Clock;
  zone: string;
  /** Time for which a member must be unknown before its row is deleted, in milliseconds. */
  staleAfterMs: number;
  /** Whether a member is this process or was heard of lately. */
  isKnown: (name: string) => boolean;
}

interface UnknownRow {
  version: number;
  firstSeenAt: number;
}

/**
 * Creates the sweep of member rows that crashed processes left behind. Each call returns the number
 * of rows deleted. A process that is merely cut off writes its row again, and the drain of a VM does
 * not rely on the row alone.
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
