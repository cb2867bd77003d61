import type { PlaceResources, WorkerSnapshot } from './types.js';

interface Change {
  atMs: number;
  needs: PlaceResources;
  sign: 1 | -1;
}

/** Expected free resources of one worker over the next milliseconds. */
export class WorkerTimeline {
  readonly id: string;
  readonly #capacity: PlaceResources;
  readonly #free: PlaceResources;
  /** Releases and claims in order of time. */
  readonly #changes: Change[] = [];

  constructor({ id, capacity, free, runs }: WorkerSnapshot, horizonMs: number) {
    this.id = id;
    this.#capacity = capacity;
    this.#free = { ...free };
    for (const { needs, endsInMs } of runs) {
      if (endsInMs <= horizonMs) this.#insert({ atMs: endsInMs, needs, sign: 1 });
    }
  }

  /** Times at which resources are released, in milliseconds from now. */
  releaseTimes(): number[] {
    return this.#changes.filter(({ sign }) => sign > 0).map(({ atMs }) => atMs);
  }

  /** Number of tasks that the worker can hold when it is empty. */
  maxTasks(needs: PlaceResources): number {
    return tasksWithin(this.#capacity, needs);
  }

  /** Number of tasks that the worker can hold from `atMs` for `runMs`. */
  tasksAt(needs: PlaceResources, atMs: number, runMs: number): number {
    const free = { ...this.#free };
    let least = Infinity;
    let isWithin = false;
    for (const { atMs: changeMs, needs: amount, sign } of this.#changes) {
      if (changeMs >= atMs + runMs) break;
      if (changeMs > atMs) {
        least = Math.min(least, tasksWithin(free, needs));
        isWithin = true;
      }
      add(free, amount, sign);
      if (isWithin && least === 0) return 0;
    }
    return Math.min(least, tasksWithin(free, needs));
  }

  /**
   * Earliest time up to `latestMs` at which the worker can hold one task for `runMs`; infinite if
   * there is none.
   */
  earliest(needs: PlaceResources, runMs: number, latestMs: number): number {
    if (this.tasksAt(needs, 0, runMs) > 0) return 0;
    for (const { atMs, sign } of this.#changes) {
      if (atMs > latestMs) break;
      if (sign > 0 && this.tasksAt(needs, atMs, runMs) > 0) return atMs;
    }
    return Infinity;
  }

  /** Reserves the resources of a task in the forecast. */
  claim(needs: PlaceResources, atMs: number, runMs: number): void {
    this.#insert({ atMs, needs, sign: -1 });
    this.#insert({ atMs: atMs + runMs, needs, sign: 1 });
  }

  #insert(change: Change): void {
    if (change.atMs <= 0) {
      add(this.#free, change.needs, change.sign);
      return;
    }
    const isLater = ({ atMs }: Change) => atMs > change.atMs;
    const position = this.#changes.findIndex(isLater);
    this.#changes.splice(position < 0 ? this.#changes.length : position, 0, change);
  }
}

function add(free: PlaceResources, amount: PlaceResources, sign: 1 | -1): void {
  free.cpuMillis += sign * amount.cpuMillis;
  free.memoryMb += sign * amount.memoryMb;
  free.accelerators += sign * amount.accelerators;
}

function tasksWithin(free: PlaceResources, needs: PlaceResources): number {
  const share = (have: number, need: number) => (need > 0 ? Math.floor(have / need) : Infinity);
  const count = Math.min(
    share(free.cpuMillis, needs.cpuMillis),
    share(free.memoryMb, needs.memoryMb),
    share(free.accelerators, needs.accelerators),
  );
  return Math.max(0, count);
}
