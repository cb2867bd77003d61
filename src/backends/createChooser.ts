import type { Random } from '../random/index.js';
import type { ChooseExecutor, ExecutorSlots } from '../scheduling/index.js';

/** Options of {@link createExecutorChooser}. */
export interface ExecutorChooserOptions {
  random: Random;
  /** Relative share of new work in (0, 1]; 0 for none. */
  weight: (vm: string) => number;
  isLeaving: (vm: string) => boolean;
}

/** Whether new work may go to a VM at all, for the scheduler's `usable` option. */
export function createUsablePredicate(options: ExecutorChooserOptions): (vm: string) => boolean {
  return (vm) => !options.isLeaving(vm) && options.weight(vm) > 0;
}

/**
 * Creates a chooser: of two random candidates, the one with less outstanding work for its weight
 * and slots. A weight below 1 also limits the slots in use, so that an executor that fails fast
 * does not draw all work while the others are full.
 */
export function createExecutorChooser(options: ExecutorChooserOptions): ChooseExecutor {
  const { random, weight, isLeaving } = options;
  return (candidates, busySlots) => {
    const open: { executor: ExecutorSlots; load: number }[] = [];
    for (const executor of candidates) {
      const share = isLeaving(executor.vm) ? 0 : weight(executor.vm);
      const usableSlots = Math.ceil(executor.slots * share);
      const busy = busySlots(executor.vm);
      if (busy < usableSlots) open.push({ executor, load: (busy + 1) / (executor.slots * share) });
    }
    if (open.length === 0) return undefined;
    const firstIndex = random.integer(open.length);
    const offset = open.length > 1 ? 1 + random.integer(open.length - 1) : 0;
    const first = open[firstIndex];
    const second = open[(firstIndex + offset) % open.length];
    if (!first || !second) return undefined;
    return (second.load < first.load ? second : first).executor;
  };
}
