import { setMaxListeners } from 'node:events';
import { EntityKind, type ConfigView } from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { AwayReason, Budget } from './budget.js';
import { catchUp } from './commit.js';
import { runZoneLease } from './lease.js';
import { createSerialise } from './serialise.js';
import { runStop } from './stops.js';
import { TaskGroup } from './taskGroup.js';
import type { ControllerContext, ControllerDeps, HeldLease } from './types.js';
import { runVmStatus } from './vmStatus.js';
import { createZoneReports, watchZones, type ZoneReports } from './zoneReports.js';

/** What the zone controller is built from, and what else runs under its lease. */
export interface ZoneControllerDeps extends ControllerDeps {
  /** Further work of the lease holder, such as the placement of jobs. */
  alsoWhileHeld?: (lease: HeldLease, lifecycle: Lifecycle) => Promise<void>;
}

/**
 * Contends for the controller lease of the zone and performs the controller's work while it is
 * held: VM states, planned stops, moves and waves. All progress is in the configuration, so that
 * the next holder goes on where this one stopped.
 *
 * @returns when the life cycle is closed
 */
export function runZoneController(deps: ZoneControllerDeps, lifecycle: Lifecycle): Promise<void> {
  const table = deps.platform.table;
  const whileHeld = (lease: HeldLease, term: Lifecycle) => runTerm(deps, lease, term);
  return runZoneLease({ ...deps, table, whileHeld }, lifecycle);
}

async function runTerm(
  deps: ZoneControllerDeps,
  lease: HeldLease,
  lifecycle: Lifecycle,
): Promise<void> {
  // One listener for each VM that is worked on.
  setMaxListeners(0, lifecycle.signal);
  const reports = createZoneReports(deps.zone, deps.settings.reportTtlMs);
  const ctx = createContext(deps, lease, reports, lifecycle.signal);
  await Promise.all([
    runVmStatus(ctx),
    watchZones(ctx, reports),
    reconcile(ctx),
    deps.alsoWhileHeld?.(lease, lifecycle),
  ]);
}

/** Creates what the tasks of one term share. */
export function createContext(
  deps: ControllerDeps,
  lease: HeldLease,
  reports: Pick<ZoneReports, 'silentZones' | 'isComplete'>,
  signal: AbortSignal,
): ControllerContext {
  let changeSets = 0;
  return {
    ...deps,
    lease,
    signal,
    silentZones: reports.silentZones,
    mayGrant: reports.isComplete,
    serialise: createSerialise(),
    nextChangeId: () => {
      changeSets += 1;
      return `controller/${deps.zone}/${lease.epoch}/${changeSets}`;
    },
  };
}

/** Looks at intervals for entities of the zone that need a task. */
async function reconcile(ctx: ControllerContext): Promise<void> {
  const stops = new TaskGroup();
  const rounds = async () => {
    while (!ctx.signal.aborted) {
      await catchUp(ctx);
      startStops(ctx, stops);
      recordGauges(ctx);
      await ctx.clock.sleep(ctx.settings.reconcileIntervalMs, ctx.signal);
    }
  };
  await Promise.race([rounds(), stops.failed]);
  await stops.finished();
}

function startStops(ctx: ControllerContext, stops: TaskGroup): void {
  for (const { id } of ctx.config.view.list(EntityKind.Stop)) {
    if (isOfZone(ctx, id)) stops.start(id, () => runStop(ctx, id));
  }
}

/** Whether a VM is in the controller's zone. */
function isOfZone(ctx: ControllerContext, vm: string): boolean {
  return ctx.config.view.get(EntityKind.Vm, vm)?.zone === ctx.zone;
}

/** Reports what is away and the buffer of each pool. */
function recordGauges(ctx: ControllerContext): void {
  const view: ConfigView = ctx.config.view;
  const budget = new Budget(view, { silentZones: ctx.silentZones() });
  for (const { id: pool } of view.list(EntityKind.Pool)) {
    const { byReason } = budget.count(pool);
    for (const reason of Object.values(AwayReason)) {
      ctx.metrics.vmsAway.set({ pool, reason }, byReason.get(reason) ?? 0);
    }
    ctx.metrics.buffer.set({ pool }, budget.slack(pool));
  }
}
