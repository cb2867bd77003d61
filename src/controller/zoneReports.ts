import { EntityKind, type ConfigView } from '../configuration/index.js';
import type { Row } from '../platform/index.js';
import { leaseKey } from './lease.js';
import type { ControllerContext } from './types.js';

/** Maximum number of lease rows read in one call; there is one row for each zone. */
const LEASE_PAGE_SIZE = 1_000;

/** Tracks which zones have a controller that renews its lease; a renewal counts as a report. */
export interface ZoneReports {
  /** Zones with VMs whose controller has not reported for too long; a new set on each change. */
  silentZones: () => ReadonlySet<string>;
  /** Whether each zone has reported or is known to be silent. No permit is granted before. */
  isComplete: () => boolean;
  /** Records the lease rows read at time `now`; undefined when they could not be read. */
  observe: (rows: readonly Row[] | undefined, view: ConfigView, now: number) => void;
}

interface ZoneReport {
  version: number;
  /** Time at which this version of the row was first seen. */
  since: number;
  hasRenewed: boolean;
}

/**
 * Creates the tracker. Silence is measured on this process's clock between readings, and starts
 * anew after a failed reading, since renewals could not be seen meanwhile.
 *
 * @param ownZone - zone whose lease this process holds; never counted as silent
 */
export function createZoneReports(ownZone: string, reportTtlMs: number): ZoneReports {
  const reports = new Map<string, ZoneReport>();
  let silent: ReadonlySet<string> = new Set();
  let isComplete = false;

  function observeZone(zone: string, version: number, now: number): void {
    const last = reports.get(zone);
    if (last?.version === version) return;
    reports.set(zone, { version, since: now, hasRenewed: last !== undefined && version > 0 });
  }

  function observe(rows: readonly Row[] | undefined, view: ConfigView, now: number): void {
    if (!rows) {
      reports.clear();
      isComplete = false;
      return;
    }
    const versions = new Map(rows.map(({ key, version }) => [key, version]));
    const zones = new Set(view.list(EntityKind.Vm).map(({ zone }) => zone));
    zones.delete(ownZone);
    const currentlySilent = new Set<string>();
    let unknownCount = 0;
    for (const zone of zones) {
      observeZone(zone, versions.get(leaseKey(zone)) ?? 0, now);
      const report = reports.get(zone);
      if (!report) continue;
      if (now - report.since > reportTtlMs) currentlySilent.add(zone);
      else if (!report.hasRenewed) unknownCount += 1;
    }
    isComplete = unknownCount === 0;
    if (!isSameSet(silent, currentlySilent)) silent = currentlySilent;
  }

  return { silentZones: () => silent, isComplete: () => isComplete, observe };
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item));
}

/** Reads the lease rows of all zones periodically, by default as often as they are renewed. */
export async function watchZones(ctx: ControllerContext, reports: ZoneReports): Promise<void> {
  while (!ctx.signal.aborted) {
    const page = await ctx.platform.table.scan(leaseKey(''), LEASE_PAGE_SIZE);
    const rows = page.isOk ? page.value.rows : undefined;
    reports.observe(rows, ctx.config.view, ctx.clock.now());
    await ctx.clock.sleep(ctx.settings.reconcileIntervalMs, ctx.signal);
  }
}
