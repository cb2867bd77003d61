import {
  EntityKind,
  VmState,
  type ConfigView,
  type Pool,
  type Vm,
} from '../configuration/index.js';
import { rackKey, slotsOf } from '../controller/index.js';
import type { CapacityInput } from './types.js';

/** Whether a VM is up and has neither a stop nor a move. */
export function isMovable(view: ConfigView, id: string): boolean {
  const state = view.get(EntityKind.VmStatus, id)?.state ?? VmState.Up;
  return state === VmState.Up && !view.get(EntityKind.Stop, id) && !view.get(EntityKind.Move, id);
}

/** Pools that may borrow VMs from the spare pools. */
export function borrowers(view: ConfigView): Pool[] {
  return view.list(EntityKind.Pool).filter(({ isSpare, mayBorrow }) => mayBorrow && !isSpare);
}

/** VMs of the spare pools in the zone that have an executor, are not lent and can be moved. */
export function lendableVms({ view, zone }: Pick<CapacityInput, 'view' | 'zone'>): Vm[] {
  return view
    .list(EntityKind.Pool)
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ id }) => view.vmsOfPool(id).filter((vm) => vm.pool === id))
    .filter((vm) => vm.zone === zone && slotsOf(vm) > 0 && isMovable(view, vm.id));
}

/**
 * VMs of the zone that a spare pool lent to another pool because of its load and that can be moved.
 * VMs that were lent to restore a budget are left out: the zone controller returns them.
 */
export function lentVms({ view, zone }: Pick<CapacityInput, 'view' | 'zone'>): Vm[] {
  return view
    .list(EntityKind.Assignment)
    .filter(({ lentForBudget }) => lentForBudget !== true)
    .flatMap(({ id, pool }) => {
      const vm = view.get(EntityKind.Vm, id);
      const isLent = vm !== undefined && vm.pool !== pool && vm.zone === zone;
      return isLent && view.get(EntityKind.Pool, vm.pool)?.isSpare ? [vm] : [];
    })
    .filter(({ id }) => isMovable(view, id));
}

/** Slots of the VMs that are moving to a pool or have a requested move to it. */
export function slotsArriving(view: ConfigView, pool: string): number {
  return view
    .list(EntityKind.Move)
    .filter(({ to }) => to === pool)
    .reduce((sum, { id }) => {
      const vm = view.get(EntityKind.Vm, id);
      return vm ? sum + slotsOf(vm) : sum;
    }, 0);
}

/** Number of VMs of a pool by {@link rackKey}. */
export function rackCounts(view: ConfigView, pool: string): Map<string, number> {
  const counts = new Map<string, number>();
  for (const vm of view.vmsOfPool(pool)) {
    counts.set(rackKey(vm), (counts.get(rackKey(vm)) ?? 0) + 1);
  }
  return counts;
}

/** VMs by which the largest per-rack counts of both pools together grow when the VM moves. */
export function bufferGrowth(view: ConfigView, vm: Vm, to: string): number {
  const from = view.poolOf(vm.id) ?? '';
  const rack = rackKey(vm);
  const change = (pool: string, by: number) => {
    const counts = rackCounts(view, pool);
    const before = Math.max(0, ...counts.values());
    counts.set(rack, (counts.get(rack) ?? 0) + by);
    return Math.max(0, ...counts.values()) - before;
  };
  return change(from, -1) + change(to, 1);
}
