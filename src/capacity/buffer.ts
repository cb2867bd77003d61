import type { ConfigView } from '../configuration/index.js';
import { AwayReason, awayReason, Budget, rackKey } from '../controller/index.js';
import type { BufferSize, CapacityInput, ConsumeBudget } from './types.js';

/**
 * Smallest buffer of a pool, in VMs, with which the loss of any single rack breaks no rule on the
 * pool as a whole: the largest number of its available VMs in one rack. With a buffer smaller by
 * one VM, a decision may use up the limits so far that the loss of that rack exceeds them by one.
 */
export function minBufferVms(
  view: ConfigView,
  pool: string,
  silentZones: ReadonlySet<string>,
): number {
  const byRack = new Map<string, number>();
  for (const vm of view.vmsOfPool(pool)) {
    if (awayReason(view, vm, silentZones)) continue;
    byRack.set(rackKey(vm), (byRack.get(rackKey(vm)) ?? 0) + 1);
  }
  return Math.max(0, ...byRack.values());
}

/**
 * Creates the function that charges the moves of one decision to the budgets of their pools. Each
 * budget keeps the buffer of its pool in reserve.
 */
export function createBudgetConsumer(
  input: Pick<CapacityInput, 'view' | 'silentZones' | 'settings'>,
  bufferVms: BufferSize,
): ConsumeBudget {
  const { view, silentZones } = input;
  const budgets = new Map<string, Budget>();
  return ({ id }) => {
    const pool = view.poolOf(id) ?? '';
    let budget = budgets.get(pool);
    if (!budget) {
      budget = new Budget(view, { silentZones, reserve: bufferVms(input, pool) });
      budgets.set(pool, budget);
    }
    const granted = budget.grant(id, AwayReason.Move);
    return granted.isErr ? granted.error : undefined;
  };
}
