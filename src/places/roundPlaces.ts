import type { Step } from '../batch/job.js';
import type { StepSpec } from '../batch/types.js';
import type { Run, Worker } from '../batch/worker.js';
import { decidePlaces } from './decidePlaces.js';
import { OVERRUN_SHARE } from './defaults.js';
import {
  PlaceAction,
  type PlaceDecision,
  type PlaceResources,
  type RackSnapshot,
  type RunSnapshot,
  type WaitingStepSnapshot,
  type WorkerSnapshot,
} from './types.js';

/** Form of the label that names the rack of a worker. */
const RACK_LABEL = /^r\d+-\d+$/;

/** Rack of a worker by its labels; undefined if none names a rack. */
export function rackOf({ record }: Worker): string | undefined {
  return record.labels.find((label) => RACK_LABEL.test(label));
}

/** Whether tasks of a step run longer on some racks than on others and end by themselves. */
export function dependsOnRack({ nearRack, isColocated, isLasting }: StepSpec): boolean {
  return !isLasting && (nearRack !== undefined || isColocated);
}

/** A step with tasks to place. */
export interface PlaceableStep {
  step: Step;
  /** Time that its job can lose and still meet its objective, in ms; negative if it is late. */
  slackMs: number;
  /** Time since the step could start, in milliseconds. */
  readyAgeMs: number;
}

/** Input of {@link planRound}. */
export interface RoundState {
  waiting: readonly PlaceableStep[];
  workers: readonly Worker[];
  /** Monotonic time in milliseconds. */
  now: number;
  /** Factor by which tasks run longer off their rack. */
  slowdown: number;
  /** Predicted run time of one task of a step on its rack, in milliseconds. */
  runMsOf: (step: Step) => number;
  /** Whether the step may run on a worker, apart from free resources and `maxPerWorker`. */
  mayUse: (step: Step, worker: Worker) => boolean;
}

/** Decisions on the racks of one placement round. */
export interface RoundPlaces {
  /** Decisions for the tasks of a step in their order; undefined if its rack does not matter. */
  decisionsOf(step: Step): readonly PlaceDecision[] | undefined;
  /** Whether tasks of the round start on the worker's rack or wait for it. */
  isWanted(worker: Worker): boolean;
}

/**
 * Decides on the racks of the waiting steps.
 *
 * @returns undefined if no rack matters to any of them
 */
export function planRound(state: RoundState): RoundPlaces | undefined {
  const { waiting, workers, now, slowdown } = state;
  const dependent = waiting.filter(({ step }) => dependsOnRack(step.spec));
  if (dependent.length === 0) return undefined;
  const byId = new Map(workers.map((worker) => [worker.record.id, worker]));
  const snapshots = dependent.map((each) => snapshotStep(each, byId, state));
  const usable = workers.filter((worker) => worker.acceptsRuns(now));
  const decisions = decidePlaces(snapshots, snapshotRacks(usable, state), { slowdown });
  const wanted = new Set<string>();
  for (const { action, rack } of [...decisions.values()].flat()) {
    if (action !== PlaceAction.StartElsewhere && rack !== undefined) wanted.add(rack);
  }
  const wantedWorkers = new Set(usable.filter((worker) => wanted.has(rackOf(worker) ?? '')));
  return {
    decisionsOf: (step) => decisions.get(step),
    isWanted: (worker) => wantedWorkers.has(worker),
  };
}

function snapshotStep(
  { step, slackMs, readyAgeMs }: PlaceableStep,
  workers: ReadonlyMap<string, Worker>,
  { runMsOf, mayUse }: RoundState,
): WaitingStepSnapshot<Step> {
  const { spec } = step;
  const isGroup = spec.isColocated || spec.isGang;
  return {
    key: step,
    needs: needsOf(spec),
    tasks: step.idleCount,
    runMs: runMsOf(step),
    slackMs,
    readyAgeMs,
    nearRack: spec.nearRack,
    isGroup,
    runningRacks: isGroup ? racksOfRuns(step) : [],
    roomOn: (workerId) => {
      const worker = workers.get(workerId);
      if (!worker || !mayUse(step, worker)) return 0;
      if (spec.maxPerWorker === 0) return Infinity;
      const running = step.tasks.filter(({ run }) => run?.worker === worker).length;
      return Math.max(0, spec.maxPerWorker - running);
    },
  };
}

function needsOf({ cpuMillis, memoryMb, accelerators, fillsSpare }: StepSpec): PlaceResources {
  return { cpuMillis: fillsSpare ? 0 : cpuMillis, memoryMb, accelerators };
}

/** Racks on which tasks of a step run; a worker without a rack counts as one of its own. */
function racksOfRuns({ tasks }: Step): string[] {
  const racks = new Set<string>();
  for (const { run } of tasks) if (run) racks.add(rackOf(run.worker) ?? run.worker.record.id);
  return [...racks];
}

function snapshotRacks(workers: readonly Worker[], state: RoundState): RackSnapshot[] {
  const isSpread = new Map<Step, boolean>();
  const isSlow = ({ task: { step }, worker }: Run) => {
    const { nearRack, isColocated } = step.spec;
    if (nearRack !== undefined && nearRack !== rackOf(worker)) return true;
    if (!isColocated) return false;
    let isStepSpread = isSpread.get(step);
    if (isStepSpread === undefined) {
      isStepSpread = racksOfRuns(step).length > 1;
      isSpread.set(step, isStepSpread);
    }
    return isStepSpread;
  };
  const byRack = new Map<string, WorkerSnapshot[]>();
  for (const worker of workers) {
    const rack = rackOf(worker);
    if (rack === undefined) continue;
    const { capacity, id } = worker.record;
    const free = {
      cpuMillis: capacity.cpuMillis - worker.cpuUsed,
      memoryMb: capacity.memoryMb - worker.memoryUsed,
      accelerators: capacity.accelerators - worker.acceleratorsUsed,
    };
    const runs = [...worker.runs.values()].map((run): RunSnapshot => {
      const runMs = state.runMsOf(run.task.step) * (isSlow(run) ? state.slowdown : 1);
      return { needs: needsOf(run.task.step.spec), endsInMs: endsInMs(run, runMs, state.now) };
    });
    const others = byRack.get(rack);
    const snapshot = { id, capacity, free, runs };
    if (others) others.push(snapshot);
    else byRack.set(rack, [snapshot]);
  }
  return [...byRack].map(([name, members]) => ({ name, workers: members }));
}

/** Expected time until a run ends, in milliseconds. */
function endsInMs({ task, startedAt, pace }: Run, runMs: number, now: number): number {
  if (task.step.spec.isLasting) return Infinity;
  const pacedMs = pace > 0 ? (runMs * 100) / pace : Infinity;
  const elapsedMs = now - startedAt;
  return Math.max(pacedMs - elapsedMs, elapsedMs * OVERRUN_SHARE, 1);
}
