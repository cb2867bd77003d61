import { MAX_WAIT_MS, ROUND_INTERVAL_MS, SCARCE_SHARE } from './defaults.js';
import { RackForecast } from './rackForecast.js';
import {
  PlaceAction,
  PlaceReason,
  type PlaceDecision,
  type PlaceRules,
  type RackSnapshot,
  type WaitingStepSnapshot,
} from './types.js';

type Step<K> = WaitingStepSnapshot<K>;

/** Time in milliseconds that a task saves on the rack that suits it. */
export function gainMsOf({ runMs }: { runMs: number }, { slowdown }: PlaceRules): number {
  return runMs * (slowdown - 1);
}

/**
 * Decides for each waiting step whether its tasks start on the rack that suits them, wait for it, or
 * start elsewhere. Addresses loads in which many tasks want the same rack for some seconds: the
 * tasks claim the expected capacity of the rack in the order of what they lose elsewhere, and those
 * for which nothing is left in time start elsewhere at once. Nothing is reserved between rounds, so
 * capacity that waiting tasks decline is free for all others.
 */
export function decidePlaces<K>(
  steps: readonly Step<K>[],
  racks: readonly RackSnapshot[],
  rules: PlaceRules,
): Map<K, PlaceDecision[]> {
  const forecasts = new Map(racks.map((rack) => [rack.name, new RackForecast(rack)]));
  const isScarce = isCapacityScarce(racks);
  const decisions = new Map<K, PlaceDecision[]>();
  for (const step of [...steps].sort((a, b) => compareLoss(a, b, rules))) {
    const decided = step.isGroup
      ? [decideGroup(step, forecasts, rules)]
      : decideEach(step, forecasts, isScarce, rules);
    decisions.set(step.key, decided);
  }
  return decisions;
}

function isCapacityScarce(racks: readonly RackSnapshot[]): boolean {
  let freeCpu = 0;
  let cpu = 0;
  for (const { workers } of racks) {
    for (const { free, capacity } of workers) {
      freeCpu += free.cpuMillis;
      cpu += capacity.cpuMillis;
    }
  }
  return freeCpu < cpu * SCARCE_SHARE;
}

/**
 * Orders the steps that lose most elsewhere first: jobs that meet their objective only on their
 * rack, by slack; then jobs that meet it anywhere, by the time they lose; then late jobs.
 */
function compareLoss<K>(a: Step<K>, b: Step<K>, rules: PlaceRules): number {
  const classA = lossClass(a, rules);
  const byClass = classA - lossClass(b, rules);
  if (byClass !== 0) return byClass;
  return classA === 0 ? a.slackMs - b.slackMs : b.runMs - a.runMs;
}

function lossClass<K>(step: Step<K>, rules: PlaceRules): number {
  if (step.slackMs < 0) return 2;
  return step.slackMs < gainMsOf(step, rules) ? 0 : 1;
}

/** Longest further wait of a step, and what bounds it. */
function boundOf<K>(step: Step<K>, rules: PlaceRules): { maxWaitMs: number; reason: PlaceReason } {
  if (step.slackMs < 0) return { maxWaitMs: 0, reason: PlaceReason.JobLate };
  const leftMs = Math.min(gainMsOf(step, rules), MAX_WAIT_MS) - step.readyAgeMs;
  if (leftMs <= 0) return { maxWaitMs: 0, reason: PlaceReason.WaitUsedUp };
  if (step.slackMs < leftMs) return { maxWaitMs: step.slackMs, reason: PlaceReason.NoSlack };
  return { maxWaitMs: leftMs, reason: PlaceReason.FreedLate };
}

function elsewhere(tasks: number, reason: PlaceReason): PlaceDecision {
  return { action: PlaceAction.StartElsewhere, reason, tasks, waitMs: 0, maxWaitMs: 0 };
}

function onRack(rack: string, tasks: number, waitMs: number, maxWaitMs: number): PlaceDecision {
  const isFree = waitMs <= 0;
  return {
    action: isFree ? PlaceAction.StartHere : PlaceAction.Wait,
    reason: isFree ? PlaceReason.RackFree : PlaceReason.FreedSoon,
    tasks,
    rack,
    waitMs,
    maxWaitMs,
  };
}

/** Decides for each task of a step whose data are on a rack. */
function decideEach<K>(
  step: Step<K>,
  forecasts: ReadonlyMap<string, RackForecast>,
  isScarce: boolean,
  rules: PlaceRules,
): PlaceDecision[] {
  const { nearRack = '', tasks } = step;
  const forecast = forecasts.get(nearRack);
  if (!forecast?.couldHold(step, 1)) return [elsewhere(tasks, PlaceReason.RackGone)];
  const bound = boundOf(step, rules);
  const decisions: PlaceDecision[] = [];
  const claimed = new Map<string, number>();
  for (let left = tasks; left > 0; left--) {
    const waitMs = forecast.claimOne(step, claimed, bound.maxWaitMs);
    const scarceWaitMs = isScarce ? scarceWaitMsOf(step, bound.maxWaitMs, rules) : 0;
    if (waitMs === Infinity && scarceWaitMs > 0 && forecast.hasReleases) {
      const wait = onRack(nearRack, left, scarceWaitMs, scarceWaitMs);
      decisions.push({ ...wait, reason: PlaceReason.CapacityScarce });
      break;
    }
    if (waitMs === Infinity) {
      decisions.push(elsewhere(left, reasonOf(bound.reason, [forecast])));
      break;
    }
    const decision = onRack(nearRack, 1, waitMs, bound.maxWaitMs);
    const last = decisions.at(-1);
    if (last?.action === decision.action) {
      last.tasks++;
      last.waitMs = Math.max(last.waitMs, waitMs);
    } else decisions.push(decision);
  }
  return decisions;
}

/**
 * Longest wait of a step whose rack is freed too late while capacity is scarce, in milliseconds. As it
 * is expected to start elsewhere afterwards, a job that is in time there has to remain so.
 */
function scarceWaitMsOf<K>(step: Step<K>, maxWaitMs: number, rules: PlaceRules): number {
  const spareMs = step.slackMs - gainMsOf(step, rules);
  // A job that is late elsewhere can only gain by waiting.
  if (spareMs < 0) return maxWaitMs;
  return Math.min(maxWaitMs, spareMs - ROUND_INTERVAL_MS);
}

/** Chooses one rack for all tasks of a step: the one on which they end soonest. */
function decideGroup<K>(
  step: Step<K>,
  forecasts: ReadonlyMap<string, RackForecast>,
  rules: PlaceRules,
): PlaceDecision {
  const { tasks, nearRack, runningRacks } = step;
  if (runningRacks.length > 1) return elsewhere(tasks, PlaceReason.AlreadySpread);
  const candidates = [...forecasts.values()].filter(
    ({ name }) => runningRacks.length === 0 || name === runningRacks[0],
  );
  const large = candidates.filter((forecast) => forecast.couldHold(step, tasks));
  if (large.length === 0) {
    const isGone = runningRacks.length > 0 && candidates.length === 0;
    return elsewhere(tasks, isGone ? PlaceReason.RackGone : PlaceReason.NoRackFits);
  }
  const bound = boundOf(step, rules);
  let best: RackForecast | undefined;
  let bestWaitMs = Infinity;
  let bestCostMs = Infinity;
  for (const forecast of large) {
    const isFar = nearRack !== undefined && nearRack !== forecast.name;
    // Off the rack of its data the step takes as long as on any racks, so a wait gains nothing.
    const waitMs = forecast.earliestTogether(step, tasks, isFar ? 0 : bound.maxWaitMs);
    const costMs = waitMs + (isFar ? gainMsOf(step, rules) : 0);
    if (costMs >= bestCostMs) continue;
    best = forecast;
    bestWaitMs = waitMs;
    bestCostMs = costMs;
  }
  if (!best) return elsewhere(tasks, reasonOf(bound.reason, large));
  best.claimTogether(step, tasks, bestWaitMs);
  return onRack(best.name, tasks, bestWaitMs, bound.maxWaitMs);
}

/** Why a wait is refused: what bounds it, unless no run ends in time for any wait. */
function reasonOf(bound: PlaceReason, forecasts: readonly RackForecast[]): PlaceReason {
  if (bound !== PlaceReason.FreedLate) return bound;
  const isFreed = forecasts.some(({ hasReleases }) => hasReleases);
  return isFreed ? bound : PlaceReason.NeverFreed;
}
