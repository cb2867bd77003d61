import { Standing } from '../workerHealth/index.js';
import { PlaceAction, rackOf, type PlaceDecision, type ReportedPlaces } from '../places/index.js';
import { FAILURE_SCORE, BestFitIndex, usedShare } from './bestFitIndex.js';
import { isCrashSuspect } from './crashSuspects.js';
import type { Step, Task } from './job.js';
import type { StepSpec } from './types.js';
import type { Worker } from './worker.js';

/** A task and the worker selected for it. */
export interface Assignment {
  task: Task;
  worker: Worker;
}

/**
 * Score for a worker on the rack of the input data, or of the other tasks of a colocated step;
 * outweighs any difference in utilization.
 */
const RACK_AFFINITY_SCORE = 4;

/**
 * Score per task of the same long-running step on a worker. Spreads the step over workers, because
 * planned work may interrupt only some of its tasks at once.
 */
const SAME_STEP_SCORE = -4;

/**
 * Score for a worker on a rack that waiting tasks run faster on, for tasks that do not; outweighs
 * any difference in utilization.
 */
const WANTED_RACK_SCORE = -2;

/** Input of a placement round. */
export interface PlacementRound {
  /** Steps that may start, most urgent first. */
  steps: Iterable<Step>;
  workers: readonly Worker[];
  /** Monotonic time in milliseconds. */
  now: number;
  /**
   * Whether ownership of the service is certain, so that tasks which another holder may have
   * started can be started again.
   */
  mayRestart: boolean;
  /** Maximum number of tasks to assign; a gang that begins below it is assigned as a whole. */
  maxStarts?: number;
  /**
   * Maximum number of tasks of a step to assign each time it is listed. A step of which that many
   * were assigned must be listed again while it has others.
   */
  turnSize?: (spec: StepSpec) => number;
  /** Called before each assignment of a step's tasks. */
  allowedStarts?: AllowedStarts;
  /** Decisions on racks; undefined where tasks do not wait for a rack. */
  places?: ReportedPlaces;
}

/**
 * Number of tasks of a step, out of `count` that may start, that the limit of its account allows; for
 * a gang all or none.
 */
export type AllowedStarts = (step: Step, count: number) => number;

/**
 * Assigns the idle tasks of the steps to workers, in the given order of steps. Tasks that may have
 * crashed a worker are left to `placeSuspects`.
 *
 * @param assign - called for each assignment; must reserve the worker's resources synchronously
 * @returns number of tasks that could not be placed
 */
export function placeSteps(
  {
    steps,
    workers,
    now,
    mayRestart,
    maxStarts = Infinity,
    turnSize,
    allowedStarts = (_step, count) => count,
    places,
  }: PlacementRound,
  assign: (assignment: Assignment) => void,
): number {
  const usable = workers.filter((worker) => worker.acceptsRuns(now));
  const index = new BestFitIndex(usable);
  const unwantedIndex =
    places && new BestFitIndex(usable.filter((worker) => !places.isWanted(worker)));
  const finder = { find: (spec: StepSpec) => unwantedIndex?.find(spec) ?? index.find(spec) };
  let startsLeft = maxStarts;
  const place = (assignment: Assignment) => {
    startsLeft--;
    assign(assignment);
    index.update(assignment.worker);
    unwantedIndex?.update(assignment.worker);
  };
  const unplaceableSpecs: StepSpec[] = [];
  let unplacedCount = 0;
  for (const step of steps) {
    const { spec } = step;
    if (startsLeft <= 0) {
      unplacedCount += step.idleCount;
      continue;
    }
    if (unplaceableSpecs.some((failed) => needsAtLeast(spec, failed))) {
      unplacedCount += step.idleCount;
      continue;
    }
    const isPlacedHere = (task: Task) =>
      isStartable(task, { now, mayRestart }) && (spec.isGang || !isCrashSuspect(task));
    const idle = step.tasks.filter(isPlacedHere);
    const turn = spec.isGang ? Infinity : (turnSize?.(spec) ?? Infinity);
    const isIncompleteGang = spec.isGang && idle.length < spec.count;
    const offered = Math.min(idle.length, turn);
    const allowed = isIncompleteGang ? 0 : allowedStarts(step, offered);
    // The step is not listed again in this round, so the limit has to know of its other tasks, too.
    if (allowed < offered && offered < idle.length) allowedStarts(step, idle.length - offered);
    const tasks = idle.slice(0, spec.isGang ? allowed : Math.min(allowed, startsLeft));
    const decisions = places?.decisionsOf(step);
    if (places && decisions) {
      const { placed, isFull } = placeDecided(step, tasks, usable, decisions, places, place);
      unplacedCount += tasks.length - placed;
      if (placed < turn) unplacedCount += idle.length - tasks.length;
      if (isFull && acceptsAnyWorker(step) && !spec.isGang) unplaceableSpecs.push(spec);
      continue;
    }
    const placed = spec.isGang
      ? placeGang(step, tasks, usable, place)
      : placeEach(step, tasks, usable, finder, place, places);
    if (placed < turn) unplacedCount += idle.length - tasks.length;
    if (placed < tasks.length) {
      unplacedCount += tasks.length - placed;
      if (acceptsAnyWorker(step) && !spec.isGang) unplaceableSpecs.push(spec);
    }
  }
  return unplacedCount;
}

/** Whether a task waits for a worker and may start now. */
export function isStartable(
  { step, run, isDone, notBefore, hasLostRun }: Task,
  { now, mayRestart }: Pick<PlacementRound, 'now' | 'mayRestart'>,
): boolean {
  const needsCertainOwnership = hasLostRun || step.job.mayHaveOtherHolder;
  return !isDone && !run && notBefore <= now && (mayRestart || !needsCertainOwnership);
}

/** Whether the step can run on any worker with enough free resources. */
function acceptsAnyWorker({ spec, allowedWorkers }: Step): boolean {
  return spec.requiredLabel === undefined && spec.maxPerWorker === 0 && !allowedWorkers;
}

/** Whether workers with enough free resources differ for a step only in their utilization. */
function hasNoPreference(step: Step): boolean {
  const { spec } = step;
  return (
    acceptsAnyWorker(step) && !spec.isLasting && spec.nearRack === undefined && !spec.isColocated
  );
}

/** Whether a step requests at least as much as one that could not be placed. */
function needsAtLeast(spec: StepSpec, failed: StepSpec): boolean {
  return (
    spec.cpuMillis >= failed.cpuMillis &&
    spec.memoryMb >= failed.memoryMb &&
    spec.accelerators >= failed.accelerators &&
    spec.fillsSpare === failed.fillsSpare
  );
}

function placeEach(
  step: Step,
  tasks: readonly Task[],
  workers: readonly Worker[],
  index: Pick<BestFitIndex, 'find'>,
  assign: (assignment: Assignment) => void,
  places?: ReportedPlaces,
): number {
  let placed = 0;
  const canUseIndex = hasNoPreference(step);
  for (const task of tasks) {
    const worker =
      canUseIndex && task.avoid === undefined
        ? index.find(step.spec)
        : chooseWorker(step, task, workers, [], places);
    if (!worker) {
      if (task.avoid === undefined) break;
      continue;
    }
    assign({ task, worker });
    placed++;
  }
  return placed;
}

/**
 * Places the tasks of a step by the decisions on its rack.
 *
 * @returns number of tasks placed, and whether no worker had capacity for another one
 */
function placeDecided(
  step: Step,
  tasks: readonly Task[],
  workers: readonly Worker[],
  decisions: readonly PlaceDecision[],
  places: ReportedPlaces,
  assign: (assignment: Assignment) => void,
): { placed: number; isFull: boolean } {
  const placeAmong = (some: readonly Task[], candidates: readonly Worker[]) => {
    if (step.spec.isGang) return placeGang(step, some, candidates, assign, places);
    const finder = { find: () => undefined };
    return placeEach(step, some, candidates, finder, assign, places);
  };
  let placed = 0;
  let isFull = false;
  let next = 0;
  for (const [position, decision] of decisions.entries()) {
    const isLast = position === decisions.length - 1;
    const own = tasks.slice(next, isLast ? undefined : next + decision.tasks);
    next += own.length;
    const isHere = decision.action === PlaceAction.StartHere;
    if (isHere) placed += placeAmong(own, workersOnRack(workers, decision.rack));
    const left = own.filter(({ run }) => !run);
    if (left.length === 0) continue;
    // More urgent steps of this round may have taken the capacity of the rack.
    const mayWait = decision.action === PlaceAction.Wait || (isHere && decision.maxWaitMs > 0);
    if (!mayWait) {
      const count = placeAmong(left, workers);
      placed += count;
      isFull ||= count < left.length;
    } else if (workers.some((worker) => isAllowed(step, worker, []))) {
      for (const task of left) places.handleWait(task, decision);
    } else isFull = true;
  }
  return { placed, isFull };
}

function workersOnRack(workers: readonly Worker[], rack: string | undefined): Worker[] {
  return workers.filter((worker) => rackOf(worker) === rack);
}

/** Places all tasks of a gang or none. */
function placeGang(
  step: Step,
  tasks: readonly Task[],
  workers: readonly Worker[],
  assign: (assignment: Assignment) => void,
  places?: ReportedPlaces,
): number {
  if (tasks.length < step.spec.count) return 0;
  const chosen: Assignment[] = [];
  for (const task of tasks) {
    const fits = (worker: Worker) => {
      const chosenHere = chosen.filter((other) => other.worker === worker).length;
      return hasCapacityBeside(step, worker, chosenHere);
    };
    const worker = chooseWorker(step, task, workers.filter(fits), chosen, places);
    if (!worker) return 0;
    chosen.push({ task, worker });
  }
  chosen.forEach(assign);
  return chosen.length;
}

/** Whether a task fits beside `chosenHere` tasks of its gang that have no reservation yet. */
function hasCapacityBeside({ spec }: Step, worker: Worker, chosenHere: number): boolean {
  const taskCount = chosenHere + 1;
  const needs = {
    cpuMillis: spec.cpuMillis * taskCount,
    memoryMb: spec.memoryMb * taskCount,
    accelerators: spec.accelerators * taskCount,
  };
  return worker.hasCapacityFor(needs, spec.fillsSpare);
}

/** Chooses the worker on which a task of a step should run; undefined if it fits on none. */
export function chooseWorker(
  step: Step,
  task: Task,
  workers: readonly Worker[],
  chosen: readonly Assignment[] = [],
  places?: ReportedPlaces,
): Worker | undefined {
  let best: Worker | undefined;
  let bestScore = -Infinity;
  for (const worker of workers) {
    if (!isAllowed(step, worker, chosen)) continue;
    const score = scoreOf(step, task, worker, chosen, places);
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/** Whether a task of the step may run on a worker and fits there. */
export function isAllowed(step: Step, worker: Worker, chosen: readonly Assignment[]): boolean {
  return isApproved(step, worker) && canHoldTask(step, worker, chosen);
}

/** Whether a step may run on a worker that has free resources. */
export function mayUseWorker(step: Step, worker: Worker): boolean {
  return isApproved(step, worker) && hasRequiredLabel(step, worker);
}

/** Whether a step needs no approval for a worker, or has it. */
function isApproved({ allowedWorkers }: Step, { record }: Worker): boolean {
  return !allowedWorkers || allowedWorkers.has(record.id);
}

function hasRequiredLabel({ spec }: Step, { record }: Worker): boolean {
  return spec.requiredLabel === undefined || record.labels.includes(spec.requiredLabel);
}

/** Why a worker that accepts runs cannot run another task of a step. */
export enum TaskObstacle {
  NotApproved = 'not_approved',
  NoLabel = 'no_label',
  NoCapacity = 'no_capacity',
  /** It is on trial, which long-running tasks and gangs are not used for. */
  OnTrial = 'on_trial_only',
  /** It runs as many tasks of the step as one worker may. */
  MaxPerWorker = 'max_per_worker',
}

/** Why a task of the step may not run on a worker; undefined if it may. */
export function obstacleToTask(step: Step, worker: Worker): TaskObstacle | undefined {
  return isApproved(step, worker) ? obstacleToHolding(step, worker, []) : TaskObstacle.NotApproved;
}

/** Whether a worker can run another task of the step now, apart from an approval that it needs. */
export function canHoldTask(
  step: Step,
  worker: Worker,
  chosen: readonly Assignment[] = [],
): boolean {
  return obstacleToHolding(step, worker, chosen) === undefined;
}

function obstacleToHolding(
  step: Step,
  worker: Worker,
  chosen: readonly Assignment[],
): TaskObstacle | undefined {
  const { spec } = step;
  if (!hasRequiredLabel(step, worker)) return TaskObstacle.NoLabel;
  if (!worker.hasCapacityFor(spec, spec.fillsSpare)) return TaskObstacle.NoCapacity;
  // A trial ends with the end of one run.
  const isOnTrial = worker.standing === Standing.OnTrial;
  if (isOnTrial && (spec.isLasting || spec.isGang)) return TaskObstacle.OnTrial;
  if (spec.maxPerWorker === 0) return undefined;
  const running = countOnWorker(step.tasks, worker);
  const chosenHere = chosen.filter((other) => other.worker === worker).length;
  return running + chosenHere < spec.maxPerWorker ? undefined : TaskObstacle.MaxPerWorker;
}

/** Number of tasks that run, or may run, on a worker. */
export function countOnWorker(tasks: readonly Task[], worker: Worker): number {
  let count = 0;
  for (const { run, copy } of tasks) {
    if (run?.worker === worker || copy?.worker === worker) count++;
  }
  return count;
}

/**
 * Prefers the most utilized worker (best fit), so that others stay empty for large tasks and for
 * planned work. Tasks of long-running steps go to the least utilized worker instead.
 */
function scoreOf(
  step: Step,
  task: Task,
  worker: Worker,
  chosen: readonly Assignment[],
  places: ReportedPlaces | undefined,
): number {
  const { spec } = step;
  const { labels } = worker.record;
  const share = usedShare(worker);
  let score = spec.isLasting ? -share : share;
  if (places?.isWanted(worker)) score += WANTED_RACK_SCORE;
  // Decisions on racks restrict the workers instead, and lasting tasks have none.
  if (!places || spec.isLasting) {
    if (spec.nearRack !== undefined && labels.includes(spec.nearRack)) score += RACK_AFFINITY_SCORE;
    if (spec.isColocated && sharesRack(step, worker, chosen)) score += RACK_AFFINITY_SCORE;
  }
  if (task.avoid === worker.record.id) score += FAILURE_SCORE;
  if (worker.consecutiveFailures > 1) score += FAILURE_SCORE;
  if (spec.isLasting) score += SAME_STEP_SCORE * countOnWorker(step.tasks, worker);
  return score;
}

/**
 * Whether a worker has all its labels, including that of its rack, in common with the first worker
 * that runs a task of the step or was chosen for one.
 */
function sharesRack(step: Step, worker: Worker, chosen: readonly Assignment[]): boolean {
  const other = step.tasks.find((task) => task.run)?.run?.worker ?? chosen[0]?.worker;
  if (!other) return false;
  const labels = new Set(other.record.labels);
  return worker.record.labels.every((label) => labels.has(label));
}
