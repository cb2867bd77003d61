import type { Resources } from '../batch/types.js';
import { countFitting, largest, minus, NO_RESOURCES, sumOf, times } from './resourceMath.js';

/** Tasks of one step that a placement round left waiting because of their account's limit. */
export interface HeldTasks {
  account: string;
  /** Resources of one task; all of them count, also the CPU of best-effort tasks. */
  needs: Resources;
  /** Number of waiting tasks. */
  count: number;
  /** Whether either all of them start or none. */
  isGang: boolean;
  /** Whether the CPU of the tasks is not reserved on their workers. */
  fillsSpare: boolean;
  /** Whether some worker can take one of them now. */
  canStart: () => boolean;
}

/** Waiting tasks of an account for which capacity is free. */
export interface Demand {
  needs: Resources;
  count: number;
  isGang: boolean;
}

/**
 * Limits held tasks to those that could start now, in the order of urgency in which they were held.
 * Without this, a holder with full workers would keep grants from services that can use them.
 *
 * @param free - free resources of the workers that accept runs, together
 * @returns demand by account
 */
export function startableDemand(
  held: readonly HeldTasks[],
  free: Readonly<Resources>,
): Map<string, Demand[]> {
  const byAccount = new Map<string, Demand[]>();
  let left: Resources = { ...free };
  for (const { account, needs, count, isGang, fillsSpare, canStart } of held) {
    const reserved = fillsSpare ? { ...needs, cpuMillis: 0 } : needs;
    const fitting = Math.min(count, countFitting(left, reserved));
    const startable = isGang && fitting < count ? 0 : fitting;
    if (startable === 0 || !canStart()) continue;
    left = minus(left, times(reserved, startable));
    const list = byAccount.get(account) ?? [];
    list.push({ needs, count: startable, isGang });
    byAccount.set(account, list);
  }
  return byAccount;
}

/** Resources of all tasks of a demand. */
export function demandTotal(demand: readonly Demand[]): Resources {
  return sumOf(demand.map(({ needs, count }) => times(needs, count)));
}

/** The largest single request of a demand, for each kind of resource. */
export function largestTask(demand: readonly Demand[]): Resources {
  return demand.reduce<Resources>((max, { needs }) => largest(max, needs), { ...NO_RESOURCES });
}
