import { sweepEndedJobs } from '../jobs/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { createMemberRowSweep } from '../membership/index.js';
import { CallPurpose, type PlatformResult } from '../platform/index.js';
import { sweepClaims } from '../requests/index.js';
import type { EntryComponents } from './components.js';
import type { EntryContext } from './types.js';

/** Interval between sweeps of the member rows of the zone. */
const MEMBER_SWEEP_INTERVAL_MS = 60_000;

/** Time for which a member must be unknown before its row is deleted. */
const MEMBER_STALE_AFTER_MS = 600_000;

/** Interval between two pages of a sweep. */
const PAGE_INTERVAL_MS = 2_000;

/** Rows per page; a single transaction may delete all of them. */
const ROWS_PER_PAGE = 100;

/** Deletes stale member rows, expired claims and old ended jobs while the zone lease is held. */
export async function runHousekeeping(
  ctx: EntryContext,
  components: EntryComponents,
  lifecycle: Lifecycle,
): Promise<void> {
  await Promise.all([
    sweepMembers(ctx, components, lifecycle.signal),
    sweepPages(ctx, 'claims_swept', lifecycle.signal, createClaimSweep(ctx, components)),
    sweepPages(ctx, 'ended_jobs_swept', lifecycle.signal, createEndedJobSweep(ctx, components)),
  ]);
}

async function sweepMembers(
  ctx: EntryContext,
  { platform, network, membership }: EntryComponents,
  signal: AbortSignal,
): Promise<void> {
  const { zone, name: selfName } = network.self;
  const sweep = createMemberRowSweep({
    clock: ctx.clock,
    zone,
    table: platform.table,
    staleAfterMs: MEMBER_STALE_AFTER_MS,
    isKnown: (name) => name === selfName || membership.member(name) !== undefined,
  });
  while (await ctx.clock.sleep(MEMBER_SWEEP_INTERVAL_MS, signal)) {
    const swept = await sweep();
    logSweep(ctx, 'member_rows_swept', swept);
  }
}

interface PageSweep {
  swept: number;
  next?: string;
}

/**
 * Sweeps the page after a key. Returns undefined when another zone is responsible for the sweep.
 */
type SweepPage = (after: string | undefined) => PlatformResult<PageSweep> | undefined;

function createClaimSweep(
  ctx: EntryContext,
  { platform, network, store }: EntryComponents,
): SweepPage {
  const { table } = platform.forPurpose(CallPurpose.Request);
  return (after) => {
    // Claims are shared by all zones. The first zone by name sweeps them; any single zone would do.
    const [first] = [...store.view.zones()].sort();
    if (first !== network.self.zone) return undefined;
    return sweepClaims(table, ctx.clock.wallTime(), after, ROWS_PER_PAGE);
  };
}

function createEndedJobSweep(ctx: EntryContext, { platform, network }: EntryComponents): SweepPage {
  const { table } = platform.forPurpose(CallPurpose.Job);
  const { endedRetentionMs } = ctx.settings.jobs;
  return (after) => {
    const before = ctx.clock.wallTime() - endedRetentionMs;
    return sweepEndedJobs(table, network.self.zone, before, after, ROWS_PER_PAGE);
  };
}

async function sweepPages(
  ctx: EntryContext,
  event: string,
  signal: AbortSignal,
  sweepPage: SweepPage,
): Promise<void> {
  let after: string | undefined;
  while (await ctx.clock.sleep(PAGE_INTERVAL_MS, signal)) {
    const page = await sweepPage(after);
    if (!page) continue;
    after = page.isOk ? page.value.next : undefined;
    const swept = page.map((result) => result.swept);
    logSweep(ctx, event, swept);
  }
}

function logSweep({ logger }: EntryContext, event: string, swept: Awaited<PlatformResult<number>>) {
  if (swept.isErr) logger.debug({ event: `${event}_failed`, error: swept.error.message });
  else if (swept.value > 0) logger.info({ event, rows: swept.value });
}
