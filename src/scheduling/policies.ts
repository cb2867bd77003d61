import { SchedulingPolicyId, type SchedulingSettings } from './defaults.js';
import { SizeClass, type WorkItem } from './types.js';

/** What is known about the size of an item, in milliseconds. */
export interface SizeHint {
  declaredMs?: number;
  /** Class quantile of the run times seen for its operation; undefined when it never ran. */
  learnedMs?: number;
}

/** Bounds of a size class; those on slots count the slots of all longer classes too. */
export interface SlotShares {
  /** Below this share the class goes ahead of shorter work. */
  guaranteed: number;
  /** At this share of the pool nothing of the class starts. */
  most: number;
  /** At this share of an executor nothing of the class starts there. */
  mostPerExecutor: number;
  /** Share of the service's queue limit that the class may take. */
  mostQueued: number;
}

const UNBOUNDED: SlotShares = { guaranteed: 0, most: 1, mostPerExecutor: 1, mostQueued: 1 };

/** An ordering policy. */
export interface SchedulingPolicy {
  /** Items with the same key wait in one line; lines share by deficit round robin. */
  flowKey: (item: WorkItem) => string;
  /** Whether the item goes ahead of others, as far as its team's quota allows. */
  isUrgent: (item: WorkItem) => boolean;
  classify: (hint: SizeHint, settings: SchedulingSettings) => SizeClass;
  slotShares: (sizeClass: SizeClass, settings: SchedulingSettings) => SlotShares;
  /** Run time in milliseconds after which a running item counts as the next class. */
  outlivesAfterMs: (sizeClass: SizeClass, settings: SchedulingSettings) => number;
}

/** Size classes, shortest first. */
export const sizeClasses = [SizeClass.Short, SizeClass.Medium, SizeClass.Long] as const;

/** The class that a running item counts as once it outlived its own. */
export function nextClass(sizeClass: SizeClass): SizeClass {
  return sizeClass === SizeClass.Short ? SizeClass.Medium : SizeClass.Long;
}

/** Whether `a` is a longer class than `b`. */
export function isLonger(a: SizeClass, b: SizeClass): boolean {
  return sizeClasses.indexOf(a) > sizeClasses.indexOf(b);
}

/** The class of a run time in milliseconds. */
export function classOf(runMs: number, settings: SchedulingSettings): SizeClass {
  if (runMs <= settings.shortMaxMs) return SizeClass.Short;
  return runMs <= settings.mediumMaxMs ? SizeClass.Medium : SizeClass.Long;
}

function boundedShares(sizeClass: SizeClass, settings: SchedulingSettings): SlotShares {
  switch (sizeClass) {
    case SizeClass.Short:
      return UNBOUNDED;
    case SizeClass.Medium:
      return {
        guaranteed: 2 * settings.guaranteedSlotShare,
        most: settings.mediumSlotShare,
        mostPerExecutor: settings.mediumExecutorSlotShare,
        mostQueued: 1,
      };
    case SizeClass.Long:
      return {
        guaranteed: settings.guaranteedSlotShare,
        most: settings.longSlotShare,
        mostPerExecutor: settings.longExecutorSlotShare,
        mostQueued: settings.longQueueShare,
      };
  }
}

function upperLimitMs(sizeClass: SizeClass, settings: SchedulingSettings): number {
  switch (sizeClass) {
    case SizeClass.Short:
      return settings.shortMaxMs;
    case SizeClass.Medium:
      return settings.mediumMaxMs;
    case SizeClass.Long:
      return Infinity;
  }
}

/**
 * An operation that never ran counts as medium or longer, whatever its declared run time says:
 * short work may fill all slots, and a declared time may be far off.
 */
function classifyLearned(hint: SizeHint, settings: SchedulingSettings): SizeClass {
  if (hint.learnedMs !== undefined) return classOf(hint.learnedMs, settings);
  const declared = classOf(hint.declaredMs ?? 0, settings);
  return declared === SizeClass.Long ? SizeClass.Long : SizeClass.Medium;
}

/** Ordering policies by id. */
export const schedulingPolicies: Record<SchedulingPolicyId, SchedulingPolicy> = {
  [SchedulingPolicyId.FirstComeFirstServed]: {
    flowKey: () => '',
    isUrgent: () => false,
    classify: () => SizeClass.Short,
    slotShares: () => UNBOUNDED,
    outlivesAfterMs: () => Infinity,
  },
  [SchedulingPolicyId.DeclaredClasses]: {
    flowKey: (item) => item.team,
    isUrgent: (item) => item.urgent,
    classify: (hint, settings) => classOf(hint.declaredMs ?? 0, settings),
    slotShares: boundedShares,
    outlivesAfterMs: () => Infinity,
  },
  [SchedulingPolicyId.LearnedClasses]: {
    flowKey: (item) => item.team,
    isUrgent: (item) => item.urgent,
    classify: classifyLearned,
    slotShares: boundedShares,
    outlivesAfterMs: upperLimitMs,
  },
};
