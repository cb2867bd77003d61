import type { Random } from '../random/index.js';
import type { ChooseExecutor, ExecutorSlots } from '../scheduling/index.js';

/** Options of {@link createExecutorChooser}. */
export interface ExecutorChooserOptions {
  random: Random;
  /** Relative share of new work in (0, 1]; 0 for none. */
  weight: (vm: string) => number;
  isLeaving: (vm: string) => boolean;
}

/** Creates the scheduler's `usable` predicate: whether a VM may get new work at all. */
export function createUsablePredicate(options: ExecutorChooserOptions): (vm: string) => boolean {
  return (vm) => !options.isLeaving(vm) && options.weight(vm) > 0;
}

/**
 * Creates a load balancer by the power of two random choices: of two random candidates, it chooses
 * the one with less outstanding work relative to its weight and slots. A weight below 1 also limits
 * the slots in use, so that an executor that fails fast does not attract all work while the others
 * are full.
 */
export function createExecutorChooser(options: ExecutorChooserOptions): ChooseExecutor {
  const { random, weight, isLeaving } = options;
  return (candidates, busySlots) => {
    const available: { executor: ExecutorSlots; load: number }[] = [];
    for (const executor of candidates) {
      const executorWeight = isLeaving(executor.vm) ? 0 : weight(executor.vm);
      const usableSlots = Math.ceil(executor.slots * executorWeight);
      const busy = busySlots(executor.vm);
      if (busy < usableSlots)
        available.push({ executor, load: (busy + 1) / (executor.slots * executorWeight) });
    }
    if (available.length === 0) return undefined;
    const firstIndex = random.integer(available.length);
    const offset = available.length > 1 ? 1 + random.integer(available.length - 1) : 0;
    const first = available[firstIndex];
    const second = available[(firstIndex + offset) % available.length];
    if (!first || !second) return undefined;
    return (second.load < first.load ? second : first).executor;
  };
}
