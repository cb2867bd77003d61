import { setMaxListeners } from 'node:events';
import { EntityKind, MoveState } from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { AwayReason } from './budget.js';
import { catchUp } from './commit.js';
import { createContext, isInZone } from './context.js';
import { runDrainSweep } from './drainSweep.js';
import { runZoneLease } from './lease.js';
import { createLentVmReconciler, lendForBudgets } from './lending.js';
import { runMove, startMoves } from './moves.js';
import { runStop } from './stops.js';
import { TaskGroup } from './taskGroup.js';
import type { ControllerContext, ControllerDeps, HeldLease } from './types.js';
import { createWaveReconciler } from './waves.js';
import { runVmStatus } from './vmStatus.js';
import { createZoneReports, watchZones } from './zoneReports.js';

/** Dependencies of the zone controller, and additional work that runs under its lease. */
export interface ZoneControllerDeps extends ControllerDeps {
  /** Additional work of the lease holder, such as job placement. */
  runAdditionalWork?: (lease: HeldLease, lifecycle: Lifecycle) => Promise<void>;
}

/**
 * Contends for the controller lease of the zone and performs the controller's work while it is
 * held: VM states, planned stops, moves and waves. All progress is recorded in the configuration,
 * so that the next holder continues where this one stopped.
 *
 * @returns when the lifecycle is closed
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
  // Each VM with a task in progress adds a listener, so the listener leak warning is disabled.
  setMaxListeners(0, lifecycle.signal);
  const reports = createZoneReports(deps.zone, deps.settings.reportTtlMs);
  const ctx = createContext(deps, lease, reports, lifecycle.signal);
  await Promise.all([
    runVmStatus(ctx),
    watchZones(ctx, reports),
    reconcile(ctx),
    runDrainSweep(ctx),
    deps.runAdditionalWork?.(lease, lifecycle),
  ]);
}

/** Periodically starts the tasks and commits the decisions that the configuration requires. */
async function reconcile(ctx: ControllerContext): Promise<void> {
  const stops = new TaskGroup();
  const moves = new TaskGroup();
  const reconcileLentVms = createLentVmReconciler(ctx);
  const reconcileWaves = createWaveReconciler(ctx);
  const runRounds = async () => {
    while (!ctx.signal.aborted) {
      await catchUp(ctx);
      startTasks(ctx, stops, moves);
      await startMoves(ctx, ctx.settings.maxOpenMoves - moves.size);
      await lendForBudgets(ctx);
      await reconcileLentVms();
      await reconcileWaves();
      startTasks(ctx, stops, moves);
      recordGauges(ctx);
      await ctx.clock.sleep(ctx.settings.reconcileIntervalMs, ctx.signal);
    }
  };
  await Promise.race([runRounds(), stops.failed, moves.failed]);
  await Promise.all([stops.finished(), moves.finished()]);
}

/** Starts a task for each stop and each started move of the zone that has no running task. */
function startTasks(ctx: ControllerContext, stops: TaskGroup, moves: TaskGroup): void {
  const { view } = ctx.config;
  for (const { id } of view.list(EntityKind.Stop)) {
    if (isInZone(ctx, id)) stops.start(id, () => runStop(ctx, id));
  }
  for (const { id, state } of view.list(EntityKind.Move)) {
    if (state === MoveState.Requested || !isInZone(ctx, id)) continue;
    moves.start(id, () => runMove(ctx, id));
  }
}

/** Updates the gauges of each pool: VMs away by reason, and the slack of the budget. */
function recordGauges(ctx: ControllerContext): void {
  const { view } = ctx.config;
  const budget = ctx.budgetAt(view);
  for (const { id: pool } of view.list(EntityKind.Pool)) {
    const { byReason } = budget.count(pool);
    for (const reason of Object.values(AwayReason)) {
      ctx.metrics.vmsAway.set({ pool, reason }, byReason.get(reason) ?? 0);
    }
    ctx.metrics.buffer.set({ pool }, budget.slack(pool));
  }
}
