import { EntityKind } from '../configuration/index.js';
import { createBudgetCache } from './budget.js';
import { CommitQueue } from './commit.js';
import type { ControllerContext, ControllerDeps, HeldLease } from './types.js';
import type { ZoneReports } from './zoneReports.js';

/** Default author of the changes of the zone controller. */
const CONTROLLER_AUTHOR = 'controller';

/**
 * Creates the state shared by the tasks of one lease term.
 *
 * @param author - prefix of the change ids; must be unique among the contexts of one term
 */
export function createContext(
  deps: ControllerDeps,
  lease: HeldLease,
  reports: Pick<ZoneReports, 'silentZones' | 'isComplete'>,
  signal: AbortSignal,
  author = CONTROLLER_AUTHOR,
): ControllerContext {
  return {
    ...deps,
    lease,
    signal,
    silentZones: reports.silentZones,
    budgetAt: createBudgetCache(deps.config.view, reports.silentZones),
    mayGrant: reports.isComplete,
    commits: new CommitQueue(author),
  };
}

/** Whether a VM is in the controller's zone. */
export function isInZone(ctx: ControllerContext, vm: string): boolean {
  return ctx.config.view.get(EntityKind.Vm, vm)?.zone === ctx.zone;
}
