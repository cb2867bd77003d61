import { SchedulingPolicyId, type SchedulingSettings } from './defaults.js';
import { SizeClass, type WorkItem } from './types.js';

/** What is known about the size of an item, in milliseconds. */
export interface SizeHint {
  declaredMs?: number;
  /** Class quantile of the run times seen for its operation; undefined when it never ran. */
  learnedMs?: number;
}

/** Offered load of one service on this process, in slots. */
export interface OfferedLoad {
  slots: number;
  /** Recent load of the classes shorter than the one in question. */
  shorter: number;
  /** Average load of the class and all longer ones. */
  sameOrLonger: number;
  /** Expected run time of what waits of the class and all longer ones, in milliseconds. */
  backlogMs: number;
}

/** Bounds of a size class; those on slots count the slots of all longer classes too. */
export interface SlotShares {
  /** Below this share the class goes ahead of shorter work. */
  guaranteedShare: number;
  /** At this share of the pool nothing of the class starts. */
  maxPoolShare: number;
  /** At this share of an executor nothing of the class starts there. */
  maxExecutorShare: number;
  /** Share of the service's queue limit that the class may take. */
  maxQueueShare: number;
}

const UNBOUNDED: SlotShares = {
  guaranteedShare: 0,
  maxPoolShare: 1,
  maxExecutorShare: 1,
  maxQueueShare: 1,
};

/** An ordering policy. */
export interface SchedulingPolicy {
  /** Items with the same key wait in one line; lines share by deficit round robin. */
  flowKey: (item: WorkItem) => string;
  /** Whether the item goes ahead of others, as far as its team's quota allows. */
  isUrgent: (item: WorkItem) => boolean;
  /** Whether only a few items of the operation may run until its run time is known. */
  isProbed: (hint: SizeHint) => boolean;
  classify: (hint: SizeHint, settings: SchedulingSettings) => SizeClass;
  slotShares: (sizeClass: SizeClass, settings: SchedulingSettings, load: OfferedLoad) => SlotShares;
  /** Run time in milliseconds after which a running item counts as the next class. */
  demoteAfterMs: (sizeClass: SizeClass, settings: SchedulingSettings) => number;
}

/** Size classes, shortest first. */
export const sizeClasses = [SizeClass.Short, SizeClass.Medium, SizeClass.Long] as const;

/** The class that a running item counts as once it outlived its own. */
export function nextClass(sizeClass: SizeClass): SizeClass {
  return sizeClass === SizeClass.Short ? SizeClass.Medium : SizeClass.Long;
}

/** The class of a run time in milliseconds. */
export function classOf(runMs: number, settings: SchedulingSettings): SizeClass {
  if (runMs <= settings.shortMaxMs) return SizeClass.Short;
  return runMs <= settings.mediumMaxMs ? SizeClass.Medium : SizeClass.Long;
}

function fixedShares(sizeClass: SizeClass, settings: SchedulingSettings): SlotShares {
  switch (sizeClass) {
    case SizeClass.Short:
      return UNBOUNDED;
    case SizeClass.Medium:
      return {
        guaranteedShare: 2 * settings.guaranteedSlotShare,
        maxPoolShare: settings.mediumSlotShare,
        maxExecutorShare: settings.mediumExecutorSlotShare,
        maxQueueShare: 1,
      };
    case SizeClass.Long:
      return {
        guaranteedShare: settings.guaranteedSlotShare,
        maxPoolShare: settings.longSlotShare,
        maxExecutorShare: settings.longExecutorSlotShare,
        maxQueueShare: settings.longQueueShare,
      };
  }
}

/** Room above the average load of a class that keeps its queue from growing. */
const STABLE_LOAD_FACTOR = 1.1;

/**
 * Lowers the bound of a class to what shorter work leaves, so that a burst of long work waits for
 * itself and not in front of short work. The bound stays above the average load of the class and
 * above what drains its backlog in time, as far as its share of the whole load allows.
 */
function adaptiveShares(
  sizeClass: SizeClass,
  settings: SchedulingSettings,
  { slots, shorter, sameOrLonger, backlogMs }: OfferedLoad,
): SlotShares {
  const shares = fixedShares(sizeClass, settings);
  if (sizeClass === SizeClass.Short || slots === 0) return shares;
  const reserved = shorter + settings.reserveFactor * Math.sqrt(shorter);
  const demand = Math.max(STABLE_LOAD_FACTOR * sameOrLonger, backlogMs / settings.longDrainMs);
  const needed = demand > 0 ? Math.min(demand, (slots * demand) / (demand + shorter)) : 0;
  const wanted = Math.max(slots - reserved, needed);
  const maxPoolShare = Math.min(
    shares.maxPoolShare,
    Math.max(shares.guaranteedShare, Math.ceil(wanted) / slots),
  );
  return { ...shares, maxPoolShare };
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
 * An operation that never ran counts as long, whatever its declared run time says: that one may be
 * far off, and a wave of unknown work must not fill the pool. Its first end settles the class.
 */
function classifyLearned({ learnedMs }: SizeHint, settings: SchedulingSettings): SizeClass {
  return learnedMs === undefined ? SizeClass.Long : classOf(learnedMs, settings);
}

/** Ordering policies by id. */
export const schedulingPolicies: Record<SchedulingPolicyId, SchedulingPolicy> = {
  [SchedulingPolicyId.FirstComeFirstServed]: {
    flowKey: () => '',
    isUrgent: () => false,
    isProbed: () => false,
    classify: () => SizeClass.Short,
    slotShares: () => UNBOUNDED,
    demoteAfterMs: () => Infinity,
  },
  [SchedulingPolicyId.DeclaredClasses]: {
    flowKey: (item) => item.team,
    isUrgent: (item) => item.urgent,
    isProbed: () => false,
    classify: (hint, settings) => classOf(hint.declaredMs ?? 0, settings),
    slotShares: fixedShares,
    demoteAfterMs: () => Infinity,
  },
  [SchedulingPolicyId.LearnedClasses]: {
    flowKey: (item) => item.team,
    isUrgent: (item) => item.urgent,
    isProbed: (hint) => hint.learnedMs === undefined,
    classify: classifyLearned,
    slotShares: adaptiveShares,
    demoteAfterMs: upperLimitMs,
  },
};
