import { SchedulingPolicyId, type SchedulingSettings } from './defaults.js';
import { SizeClass, type WorkItem } from './types.js';

/** Known run times of an item, in milliseconds. */
export interface SizeHint {
  declaredMs?: number;
  /** Class quantile of the observed run times of its operation; undefined if it has never run. */
  learnedMs?: number;
}

/** Offered load of one service in this process, as seen by one size class. */
export interface OfferedLoad {
  /** Slots of the usable executors. */
  slots: number;
  /** Recent load of all shorter classes, in slots. */
  shorter: number;
  /** Long-term average load of the class and all longer ones, in slots. */
  sameOrLonger: number;
  /** Expected run time of the queued work of the class and all longer ones, in milliseconds. */
  backlogMs: number;
}

/** Limits of a size class. Limits on slots include the slots held by all longer classes. */
export interface SlotShares {
  /** Share of the pool below which the class takes precedence over shorter work. */
  guaranteedShare: number;
  /** Share of the pool that the class may hold. */
  maxPoolShare: number;
  /** Share of one executor that the class may hold. */
  maxExecutorShare: number;
  /** Share of the service's queue limit that the class may use. */
  maxQueueShare: number;
}

const UNBOUNDED: SlotShares = {
  guaranteedShare: 0,
  maxPoolShare: 1,
  maxExecutorShare: 1,
  maxQueueShare: 1,
};

/** Decides how requests are ordered and how many slots each size class may hold. */
export interface SchedulingPolicy {
  /** Flow of the item. Flows share slots by weighted deficit round robin. */
  flowKey: (item: WorkItem) => string;
  /** Whether the item takes precedence over others, within the urgent quota of its team. */
  isUrgent: (item: WorkItem) => boolean;
  /** Whether concurrency of the operation is limited until its run time is known. */
  isProbed: (hint: SizeHint) => boolean;
  classify: (hint: SizeHint, settings: SchedulingSettings) => SizeClass;
  slotShares: (sizeClass: SizeClass, settings: SchedulingSettings, load: OfferedLoad) => SlotShares;
  /** Run time, in milliseconds, after which a running item is demoted to the next longer class. */
  demoteAfterMs: (sizeClass: SizeClass, settings: SchedulingSettings) => number;
}

/** Size classes, shortest first. */
export const sizeClasses = [SizeClass.Short, SizeClass.Medium, SizeClass.Long] as const;

/** The class to which a running item is demoted when it exceeds the limit of its own. */
export function nextClass(sizeClass: SizeClass): SizeClass {
  return sizeClass === SizeClass.Short ? SizeClass.Medium : SizeClass.Long;
}

/** Size class of a run time, in milliseconds. */
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

/** Capacity relative to the average load of a class that keeps its queue from growing. */
const STABLE_LOAD_FACTOR = 1.1;

/**
 * Limits a class to the slots that shorter work leaves free, so that a burst of long work delays
 * only itself and not short work. Within the fixed limits, a class keeps the slots that its average
 * load and the draining of its backlog need or, if the pool is too small for all classes, a share in
 * proportion to its demand.
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
 * Classifies an operation that has never run as long, regardless of its declared run time, which
 * may be inaccurate: a burst of unknown work must not fill the pool. Its first completed run
 * determines the class.
 */
function classifyLearned({ learnedMs }: SizeHint, settings: SchedulingSettings): SizeClass {
  return learnedMs === undefined ? SizeClass.Long : classOf(learnedMs, settings);
}

/** Scheduling policies by id. */
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
