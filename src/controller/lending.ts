import {
  EntityKind,
  MoveState,
  type ConfigView,
  type EntityChange,
  type Move,
  type Pool,
  type Vm,
} from '../configuration/index.js';
import { AwayReason, Budget, rackKey, servicesByPool, slotsOf } from './budget.js';
import { commitDecision } from './commit.js';
import { drainingChange } from './moves.js';
import type { ControllerContext } from './types.js';

/**
 * Starts moves of VMs from the spare pools in this zone to pools that may borrow and that lack VMs
 * or slots for their budgets. Moves in progress to a pool count as completed, so that the
 * controllers of several zones do not lend for the same shortfall.
 */
export async function lendForBudgets(ctx: ControllerContext): Promise<void> {
  if (!ctx.mayGrant()) return;
  let lentCount = 0;
  const decided = await commitDecision(ctx, 'lend', (view) => {
    const changes = planLoans(view, ctx.zone, ctx.silentZones());
    lentCount = changes.length;
    return changes;
  });
  if (decided.isOk && lentCount > 0) ctx.metrics.permits.inc({ kind: 'lend' }, lentCount);
}

/** The moves of spare VMs of one zone that the budgets need and allow at the view's version. */
export function planLoans(
  view: ConfigView,
  zone: string,
  silentZones: ReadonlySet<string>,
): EntityChange[] {
  const budget = new Budget(view, { silentZones });
  const borrowers = view.list(EntityKind.Pool).filter(({ mayBorrow }) => mayBorrow);
  const changes: EntityChange[] = [];
  let candidates: Vm[] | undefined;
  for (const pool of borrowers) {
    let shortfall = shortfallOf(view, budget, pool);
    if (!isShort(shortfall)) continue;
    candidates ??= spareVms(view, zone);
    for (const vm of candidates) {
      if (!isShort(shortfall)) break;
      if (view.get(EntityKind.Move, vm.id) || budget.grant(vm.id, AwayReason.Move).isErr) continue;
      const from = view.poolOf(vm.id) ?? '';
      const state = MoveState.Requested;
      const move: Move = { id: vm.id, from, to: pool.id, state, lentForBudget: true };
      changes.push(drainingChange(view, move));
      shortfall = { vms: shortfall.vms - 1, slots: shortfall.slots - slotsOf(vm) };
    }
  }
  return changes;
}

/** VMs and slots that a pool lacks for its budgets. */
interface Shortfall {
  vms: number;
  slots: number;
}

function isShort({ vms, slots }: Shortfall): boolean {
  return vms > 0 || slots > 0;
}

/** The shortfall of a pool, less the VMs and slots that are being moved to it. */
function shortfallOf(view: ConfigView, budget: Budget, pool: Pool): Shortfall {
  const count = budget.count(pool.id);
  const shortfall: Shortfall = { vms: pool.minAvailable - (count.total - count.away), slots: 0 };
  for (const { minAvailableSlots } of servicesByPool(view).get(pool.id) ?? []) {
    shortfall.slots = Math.max(
      shortfall.slots,
      minAvailableSlots - (count.slots - count.slotsAway),
    );
  }
  for (const move of view.list(EntityKind.Move)) {
    const vm = view.get(EntityKind.Vm, move.id);
    if (move.to !== pool.id || !vm) continue;
    shortfall.vms -= 1;
    shortfall.slots -= slotsOf(vm);
  }
  return shortfall;
}

/** VMs of the spare pools in a zone, one from each rack in turn. */
function spareVms(view: ConfigView, zone: string): Vm[] {
  const racks = new Map<string, Vm[]>();
  for (const pool of view.list(EntityKind.Pool)) {
    if (!pool.isSpare) continue;
    for (const vm of view.vmsOfPool(pool.id)) {
      if (vm.zone !== zone) continue;
      const rack = racks.get(rackKey(vm));
      if (rack) rack.push(vm);
      else racks.set(rackKey(vm), [vm]);
    }
  }
  const vmsByRack = [...racks.values()];
  const longest = Math.max(0, ...vmsByRack.map(({ length }) => length));
  return Array.from({ length: longest }, (_, i) =>
    vmsByRack.flatMap((rack) => rack[i] ?? []),
  ).flat();
}

/** Returns lent VMs when their pool has satisfied its budget without them for long enough. */
export type ReconcileLentVms = () => Promise<void>;

/** Creates the function that returns the lent VMs of the zone; call it periodically. */
export function createLentVmReconciler(ctx: ControllerContext): ReconcileLentVms {
  /** Time since which each lent VM could be returned without violating a budget, by VM id. */
  const unneededSince = new Map<string, number>();

  return async () => {
    const now = ctx.clock.now();
    const unneeded = new Set(unneededVms(ctx.config.view, ctx.zone, ctx.silentZones()));
    for (const id of unneededSince.keys()) if (!unneeded.has(id)) unneededSince.delete(id);
    for (const id of unneeded) if (!unneededSince.has(id)) unneededSince.set(id, now);
    const due = [...unneededSince].filter(([, at]) => now - at >= ctx.settings.returnLentAfterMs);
    if (due.length === 0) return;
    await commitDecision(ctx, 'return_lent', (view) => {
      const stillUnneeded = new Set(unneededVms(view, ctx.zone, ctx.silentZones()));
      return due
        .filter(([id]) => stillUnneeded.has(id))
        .flatMap(([id]): EntityChange[] => requestReturn(view, id));
    });
  };
}

/** Lent VMs of a zone that their pools can return together, with one VM still in reserve. */
function unneededVms(view: ConfigView, zone: string, silentZones: ReadonlySet<string>): string[] {
  const budget = new Budget(view, { silentZones, reserve: 1 });
  return view
    .list(EntityKind.Assignment)
    .filter(({ lentForBudget }) => lentForBudget === true)
    .filter(({ id }) => view.get(EntityKind.Vm, id)?.zone === zone)
    .filter(({ id }) => !view.get(EntityKind.Move, id))
    .filter(({ id }) => budget.grant(id, AwayReason.Move).isOk)
    .map(({ id }) => id);
}

/** The move of a lent VM back to its home pool. */
function requestReturn(view: ConfigView, id: string): EntityChange[] {
  const from = view.poolOf(id);
  const to = view.get(EntityKind.Vm, id)?.pool;
  if (from === undefined || to === undefined || from === to) return [];
  const value: Move = { id, from, to, state: MoveState.Requested };
  return [{ kind: EntityKind.Move, id, value }];
}
