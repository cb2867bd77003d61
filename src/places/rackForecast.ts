import { MAX_WAITS_PER_RACK, MAX_WAIT_MS } from './defaults.js';
import type { PlaceResources, RackSnapshot, WaitingStepSnapshot } from './types.js';
import { WorkerTimeline } from './workerTimeline.js';

/** What a forecast needs to know of a step. */
export type ForecastStep = Pick<WaitingStepSnapshot<unknown>, 'needs' | 'runMs' | 'roomOn'>;

/** Forecasts when the workers of a rack can hold tasks, given the tasks that claimed it before. */
export class RackForecast {
  readonly name: string;
  readonly #timelines: WorkerTimeline[];
  #waitsLeft = MAX_WAITS_PER_RACK;
  /**
   * Needs that found no place on any worker, with their waits. Free capacity only shrinks with claims,
   * so larger needs and shorter waits find none either; in an overloaded pool these are most tasks.
   * Gaps before a claim, which a shorter task may fit in, are left out.
   */
  readonly #failed: { needs: PlaceResources; latestMs: number }[] = [];

  constructor({ name, workers }: RackSnapshot) {
    this.name = name;
    this.#timelines = workers.map((worker) => new WorkerTimeline(worker, MAX_WAIT_MS));
  }

  /** Whether any run on the rack is expected to end within the longest wait. */
  get hasReleases(): boolean {
    return this.#timelines.some((timeline) => timeline.releaseTimes().length > 0);
  }

  /** Whether the rack, with all its workers empty, could hold a number of tasks. */
  couldHold({ needs, roomOn }: ForecastStep, tasks: number): boolean {
    let room = 0;
    for (const timeline of this.#timelines) {
      room += Math.min(timeline.maxTasks(needs), roomOn(timeline.id));
    }
    return room >= tasks;
  }

  /**
   * Claims the earliest place for one task within `maxWaitMs`.
   *
   * @param claimed - tasks of the step that were claimed before, by worker
   * @returns time until it is free in milliseconds; infinite if there is none
   */
  claimOne(
    { needs, runMs, roomOn }: ForecastStep,
    claimed: Map<string, number>,
    maxWaitMs: number,
  ): number {
    const latestMs = this.#waitsLeft > 0 ? maxWaitMs : 0;
    const isHopeless = this.#failed.some(
      (failed) => latestMs <= failed.latestMs && needsAtLeast(needs, failed.needs),
    );
    if (isHopeless) return Infinity;
    let hasSkipped = false;
    let best: WorkerTimeline | undefined;
    let bestMs = Infinity;
    for (const timeline of this.#timelines) {
      if ((claimed.get(timeline.id) ?? 0) >= roomOn(timeline.id)) {
        hasSkipped = true;
        continue;
      }
      const atMs = timeline.earliest(needs, runMs, Math.min(latestMs, bestMs));
      if (atMs >= bestMs) continue;
      best = timeline;
      bestMs = atMs;
      if (atMs === 0) break;
    }
    if (!best) {
      if (!hasSkipped) this.#failed.push({ needs, latestMs });
      return Infinity;
    }
    if (bestMs > 0) this.#waitsLeft--;
    best.claim(needs, bestMs, runMs);
    claimed.set(best.id, (claimed.get(best.id) ?? 0) + 1);
    return bestMs;
  }

  /**
   * Earliest time up to `latestMs` at which the rack can hold a number of tasks together; infinite if
   * there is none.
   */
  earliestTogether(step: ForecastStep, tasks: number, latestMs: number): number {
    const times = new Set([0, ...this.#timelines.flatMap((timeline) => timeline.releaseTimes())]);
    for (const atMs of [...times].sort((a, b) => a - b)) {
      if (atMs > latestMs || (atMs > 0 && this.#waitsLeft < tasks)) break;
      let room = 0;
      for (const timeline of this.#timelines) room += roomAt(timeline, step, atMs);
      if (room >= tasks) return atMs;
    }
    return Infinity;
  }

  /** Claims places for a number of tasks together at a time from {@link earliestTogether}. */
  claimTogether(step: ForecastStep, tasks: number, atMs: number): void {
    let left = tasks;
    for (const timeline of this.#timelines) {
      const count = Math.min(left, roomAt(timeline, step, atMs));
      for (let index = 0; index < count; index++) timeline.claim(step.needs, atMs, step.runMs);
      left -= count;
    }
    if (atMs > 0) this.#waitsLeft -= tasks;
  }
}

function needsAtLeast(needs: PlaceResources, other: PlaceResources): boolean {
  return (
    needs.cpuMillis >= other.cpuMillis &&
    needs.memoryMb >= other.memoryMb &&
    needs.accelerators >= other.accelerators
  );
}

function roomAt(timeline: WorkerTimeline, { needs, runMs, roomOn }: ForecastStep, atMs: number) {
  const room = roomOn(timeline.id);
  return room <= 0 ? 0 : Math.min(room, timeline.tasksAt(needs, atMs, runMs));
}
