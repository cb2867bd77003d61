import { OutlierReason, type Evidence, type HealthSettings, type OpenRun } from './types.js';

/** How far a failed run speaks against its worker. */
export enum FailureWeight {
  /** The task failed on another worker, too, and never succeeded. */
  None = 'none',
  /** Whether tasks of the step succeed elsewhere is not known yet. */
  Unconfirmed = 'unconfirmed',
  /** The task, or an equal one of its step, succeeded elsewhere. */
  Confirmed = 'confirmed',
}

/** An ended run as sample of its worker. */
export interface Sample {
  kind: string;
  step: string;
  startedAt: number;
  ratio?: number;
  /** Set if the run failed. */
  failure?: FailureWeight;
}

/** Samples of one worker. */
export interface WorkerSamples {
  ended: readonly Sample[];
  open: readonly OpenRun[];
}

/** What is usual on the other workers of the pool. */
export interface Norm {
  /** Median ratio of a kind of task; undefined without enough runs. */
  medianRatio: (kind: string) => number | undefined;
  /** Share of runs that are slow; smoothed. */
  slowShare: number;
  /** Share of runs of a kind that failed; smoothed. */
  failedShare: (kind: string) => number;
  endedCount: (kind: string) => number;
}

/** Shares of failed and of slow runs that are assumed for healthy workers before runs are known. */
const PRIOR_FAILED_SHARE = 0.03;
const PRIOR_SLOW_SHARE = 0.04;
/** Number of runs that the assumed shares count as. */
const PRIOR_RUNS = 8;
/** Lower bound of these shares; with fewer runs, a smaller share is not certain. */
const MIN_SHARE = 0.03;
/** Shares of an outlier that are tested against the norm. */
const OUTLIER_FAILED_SHARE = 0.4;
const OUTLIER_SLOW_SHARE = 0.9;
/** Failures of one step that count before an equal task has succeeded elsewhere. */
const MAX_UNCONFIRMED_PER_STEP = 2;
/** Ratios of a kind of task from which its own median is used instead of that of all kinds. */
const MIN_RATIOS_PER_KIND = 5;

/** Computes what is usual for a set of workers. */
export function computeNorm(workers: Iterable<WorkerSamples>, settings: HealthSettings): Norm {
  const ratios: number[] = [];
  const ratiosByKind = new Map<string, number[]>();
  const endsByKind = new Map<string, { ended: number; failed: number }>();
  const open: OpenRun[] = [];
  for (const samples of workers) {
    open.push(...samples.open);
    for (const { kind, ratio, failure } of samples.ended) {
      const ends = endsByKind.get(kind) ?? { ended: 0, failed: 0 };
      endsByKind.set(kind, ends);
      ends.ended++;
      if (failure !== undefined) ends.failed++;
      if (ratio === undefined) continue;
      ratios.push(ratio);
      const ofKind = ratiosByKind.get(kind) ?? [];
      ratiosByKind.set(kind, ofKind);
      ofKind.push(ratio);
    }
  }
  const medianOfAll = ratios.length < settings.minOtherRuns ? undefined : median(ratios);
  const medians = new Map<string, number>();
  for (const [kind, ofKind] of ratiosByKind) {
    if (ofKind.length >= MIN_RATIOS_PER_KIND) medians.set(kind, median(ofKind));
  }
  const medianRatio = (kind: string) => medians.get(kind) ?? medianOfAll;
  let slow = 0;
  for (const [kind, ofKind] of ratiosByKind) {
    const limit = (medianRatio(kind) ?? Infinity) * settings.slowFactor;
    for (const ratio of ofKind) if (ratio > limit) slow++;
  }
  const openSlow = open.filter(
    ({ kind, ratio }) => ratio > (medianRatio(kind) ?? Infinity) * settings.slowFactor,
  ).length;
  return {
    medianRatio,
    slowShare: smooth(slow + openSlow, ratios.length + openSlow, PRIOR_SLOW_SHARE),
    failedShare: (kind) => {
      const { failed, ended } = endsByKind.get(kind) ?? { failed: 0, ended: 0 };
      return smooth(failed, ended, PRIOR_FAILED_SHARE);
    },
    endedCount: (kind) => endsByKind.get(kind)?.ended ?? 0,
  };
}

/**
 * Whether a worker is so conspicuous that its runs are left out of the norm. Several bad workers would
 * otherwise make each other look usual.
 */
export function isConspicuous(
  { ended, open }: WorkerSamples,
  { medianRatio }: Norm,
  { slowFactor }: HealthSettings,
): boolean {
  const isSlow = ({ kind, ratio }: { kind: string; ratio?: number }) =>
    ratio !== undefined && ratio > (medianRatio(kind) ?? Infinity) * slowFactor;
  const rated = ended.filter(({ ratio }) => ratio !== undefined).length;
  const openSlow = open.filter(isSlow).length;
  const slow = ended.filter(isSlow).length + openSlow;
  const failed = ended.filter(
    ({ failure }) => failure !== undefined && failure !== FailureWeight.None,
  ).length;
  const isOftenSlow = slow >= 4 && slow > (rated + openSlow) / 2;
  return isOftenSlow || (failed >= 3 && failed > ended.length / 4);
}

/** Whether there can be evidence against a worker; spares the others the whole computation. */
export function mayBeOutlier(
  { ended, open }: WorkerSamples,
  { medianRatio }: Norm,
  { slowFactor }: HealthSettings,
): boolean {
  let suspicious = 0;
  const isSlow = (kind: string, ratio: number) =>
    ratio > (medianRatio(kind) ?? Infinity) * slowFactor;
  for (const { kind, ratio, failure } of ended) {
    if (failure !== undefined || (ratio !== undefined && isSlow(kind, ratio))) suspicious++;
  }
  for (const { kind, ratio } of open) if (isSlow(kind, ratio)) suspicious++;
  return suspicious > 1;
}

/**
 * Finds evidence that a worker fails or is slow. Adds the log-likelihood ratio of each run, in the
 * order of the starts, and starts anew where the sum falls below zero (cumulative sum test). Runs in
 * the order of their ends would contain the slow ones in groups.
 */
export function findEvidence(
  samples: WorkerSamples,
  norm: Norm,
  settings: HealthSettings,
): Evidence | undefined {
  const failing = findFailures(samples, norm, settings);
  const slow = findSlowness(samples, norm, settings);
  if (!failing || !slow) return failing ?? slow;
  return slow.severity > failing.severity ? slow : failing;
}

function findFailures(
  { ended }: WorkerSamples,
  norm: Norm,
  settings: HealthSettings,
): Evidence | undefined {
  const unconfirmedBySteps = new Map<string, number>();
  let sum = 0;
  let count = 0;
  let failed = 0;
  let usualShare = 0;
  for (const { kind, step, failure } of byStart(ended)) {
    const share = norm.failedShare(kind);
    if (failure === FailureWeight.None) continue;
    if (failure === FailureWeight.Unconfirmed) {
      const earlier = unconfirmedBySteps.get(step) ?? 0;
      unconfirmedBySteps.set(step, earlier + 1);
      const isComparable = norm.endedCount(kind) >= settings.minOtherRuns;
      if (!isComparable || earlier >= MAX_UNCONFIRMED_PER_STEP) continue;
    }
    const isFailure = failure !== undefined;
    sum += isFailure
      ? Math.max(0, Math.log(OUTLIER_FAILED_SHARE / share))
      : Math.min(0, Math.log((1 - OUTLIER_FAILED_SHARE) / (1 - share)));
    count++;
    if (isFailure) failed++;
    if (sum <= 0) sum = count = failed = 0;
    usualShare = share;
  }
  if (sum < settings.failureThreshold) return undefined;
  const own = failed / count;
  const { Failures: reason } = OutlierReason;
  return { reason, severity: own, samples: count, own, pool: usualShare };
}

function findSlowness(
  { ended, open }: WorkerSamples,
  norm: Norm,
  { slowFactor, stallFactor, slowThreshold }: HealthSettings,
): Evidence | undefined {
  const slowWeight = Math.max(0, Math.log(OUTLIER_SLOW_SHARE / norm.slowShare));
  const usualWeight = Math.min(0, Math.log((1 - OUTLIER_SLOW_SHARE) / (1 - norm.slowShare)));
  const isSlow = ({ kind, ratio }: { kind: string; ratio?: number }) =>
    ratio !== undefined && ratio > (norm.medianRatio(kind) ?? Infinity) * slowFactor;
  const runs = [
    ...ended.filter(({ ratio }) => ratio !== undefined).map((run) => ({ ...run, isOpen: false })),
    ...open.filter(isSlow).map((run) => ({ ...run, isOpen: true })),
  ];
  let sum = 0;
  let slowdowns: number[] = [];
  let usual = 0;
  for (const run of byStart(runs)) {
    const medianRatio = norm.medianRatio(run.kind);
    if (medianRatio === undefined || run.ratio === undefined) continue;
    const isStalled = run.isOpen && run.ratio > medianRatio * stallFactor;
    if (isSlow(run)) sum += slowWeight * (isStalled ? 2 : 1);
    else sum += usualWeight;
    slowdowns.push(run.ratio / medianRatio);
    usual = medianRatio;
    if (sum <= 0) {
      sum = 0;
      slowdowns = [];
    }
  }
  if (sum < slowThreshold) return undefined;
  const slowdown = median(slowdowns);
  const { Slow: reason } = OutlierReason;
  const severity = Math.max(0, 1 - 1 / slowdown);
  return { reason, severity, samples: slowdowns.length, own: slowdown * usual, pool: usual };
}

function byStart<T extends { startedAt: number }>(runs: readonly T[]): T[] {
  return [...runs].sort((a, b) => a.startedAt - b.startedAt);
}

function smooth(count: number, total: number, prior: number): number {
  return Math.max(MIN_SHARE, (count + prior * PRIOR_RUNS) / (total + PRIOR_RUNS));
}

function median(values: readonly number[]): number {
  // Typed arrays are sorted by value without a comparison function.
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
