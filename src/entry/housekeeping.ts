import { sweepEndedJobs } from '../jobs/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { createMemberRowSweep } from '../membership/index.js';
import { CallPurpose, type PlatformResult } from '../platform/index.js';
import { sweepClaims } from '../requests/index.js';
import type { EntryParts } from './parts.js';
import type { EntryContext } from './types.js';

/** Time between two sweeps of the member rows of the zone, in milliseconds. */
const MEMBER_SWEEP_MS = 60_000;

/** Time for which a member must be unknown before its row is deleted, in milliseconds. */
const MEMBER_STALE_MS = 600_000;

/** Time between two pages of a sweep, in milliseconds. */
const PAGE_MS = 2_000;

/** Rows in one page, all of which may be deleted by one transaction. */
const PAGE_ROWS = 100;

/** Deletes rows that nobody needs any more while the zone lease is held. */
export async function runHousekeeping(
  ctx: EntryContext,
  parts: EntryParts,
  lifecycle: Lifecycle,
): Promise<void> {
  await Promise.all([
    sweepMembers(ctx, parts, lifecycle.signal),
    sweepPages(ctx, 'claims_swept', lifecycle.signal, claimPages(ctx, parts)),
    sweepPages(ctx, 'ended_jobs_swept', lifecycle.signal, endedJobPages(ctx, parts)),
  ]);
}

async function sweepMembers(
  ctx: EntryContext,
  { platform, network, membership }: EntryParts,
  signal: AbortSignal,
): Promise<void> {
  const { zone, name: own } = network.self;
  const sweep = createMemberRowSweep({
    clock: ctx.clock,
    zone,
    table: platform.table,
    staleAfterMs: MEMBER_STALE_MS,
    isKnown: (name) => name === own || membership.member(name) !== undefined,
  });
  while (await ctx.clock.sleep(MEMBER_SWEEP_MS, signal)) {
    const swept = await sweep();
    logSweep(ctx, 'member_rows_swept', swept);
  }
}

interface PageSweep {
  swept: number;
  next?: string;
}

/** Sweeps one page that starts after a key; undefined when this process need not sweep. */
type SweepPage = (after: string | undefined) => PlatformResult<PageSweep> | undefined;

function claimPages(ctx: EntryContext, { platform, network, store }: EntryParts): SweepPage {
  const { table } = platform.forPurpose(CallPurpose.Request);
  return (after) => {
    // One zone sweeps for all; any zone would do.
    const [first] = [...store.view.zones()].sort();
    if (first !== network.self.zone) return undefined;
    return sweepClaims(table, ctx.clock.wallTime(), after, PAGE_ROWS);
  };
}

function endedJobPages(ctx: EntryContext, { platform, network }: EntryParts): SweepPage {
  const { table } = platform.forPurpose(CallPurpose.Job);
  const { endedRetentionMs } = ctx.settings.jobs;
  return (after) => {
    const before = ctx.clock.wallTime() - endedRetentionMs;
    return sweepEndedJobs(table, network.self.zone, before, after, PAGE_ROWS);
  };
}

async function sweepPages(
  ctx: EntryContext,
  event: string,
  signal: AbortSignal,
  sweepPage: SweepPage,
): Promise<void> {
  let after: string | undefined;
  while (await ctx.clock.sleep(PAGE_MS, signal)) {
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
