import type { RunState } from './openJobs.js';
import type { Resources, Worker } from './types.js';

/** Whether `need` fits into `room`. */
export function fits(need: Resources, available: Resources): boolean {
  return (
    need.cores <= available.cores &&
    need.memoryMib <= available.memoryMib &&
    need.accelerators <= available.accelerators
  );
}

function subtract(available: Resources, usage: Resources): Resources {
  return {
    cores: available.cores - usage.cores,
    memoryMib: available.memoryMib - usage.memoryMib,
    accelerators: available.accelerators - usage.accelerators,
  };
}

function add(available: Resources, usage: Resources): Resources {
  return {
    cores: available.cores + usage.cores,
    memoryMib: available.memoryMib + usage.memoryMib,
    accelerators: available.accelerators + usage.accelerators,
  };
}

/** How a worker is chosen among those with room. */
export interface WorkerSelection {
  /** Workers that are used only if no other has room. */
  avoid: ReadonlySet<string>;
  /** Workers that are not used. */
  exclude: ReadonlySet<string>;
  /** Take the worker with the most room instead of the least. */
  spread: boolean;
}

/** Attempts to end so that a job fits on a worker. */
export interface EvictionPlan {
  vm: string;
  runs: RunState[];
}

/** Free resources of the workers that may get tasks, during one placement round. */
export class Capacity {
  readonly #workers: ReadonlyMap<string, Worker>;
  readonly #free = new Map<string, Resources>();

  constructor(workers: readonly Worker[], runsOn: (vm: string) => readonly RunState[]) {
    this.#workers = new Map(workers.map((worker) => [worker.vm, worker]));
    for (const worker of workers) {
      const free = runsOn(worker.vm).reduce<Resources>(
        (available, { usage }) => subtract(available, usage),
        worker,
      );
      this.#free.set(worker.vm, free);
    }
  }

  /** Chooses a worker with room for `need`. */
  chooseWorker(need: Resources, selection: WorkerSelection): string | undefined {
    let best: string | undefined;
    let bestScore = -Infinity;
    for (const [vm, free] of this.#free) {
      if (selection.exclude.has(vm) || !fits(need, free)) continue;
      const freeShare = this.#freeShare(vm, free);
      const score =
        (selection.spread ? freeShare : -freeShare) - (selection.avoid.has(vm) ? 1_000 : 0);
      if (score <= bestScore) continue;
      best = vm;
      bestScore = score;
    }
    return best;
  }

  /** Counts with a task that is about to be placed. */
  allocate(vm: string, need: Resources): void {
    const free = this.#free.get(vm);
    if (free) this.#free.set(vm, subtract(free, need));
  }

  hasRoom(vm: string, need: Resources): boolean {
    const free = this.#free.get(vm);
    return free !== undefined && fits(need, free);
  }

  /** The fewest attempts to end so that `need` fits on one worker. */
  planEviction(
    need: Resources,
    evictable: (vm: string) => readonly RunState[],
  ): EvictionPlan | undefined {
    let best: EvictionPlan | undefined;
    for (const [vm, free] of this.#free) {
      const candidates = [...evictable(vm)].sort((a, b) => b.usage.cores - a.usage.cores);
      const runs: RunState[] = [];
      let available = free;
      for (const state of candidates) {
        if (fits(need, available)) break;
        available = add(available, state.usage);
        runs.push(state);
      }
      if (!fits(need, available)) continue;
      if (!best || runs.length < best.runs.length) best = { vm, runs };
    }
    return best;
  }

  #freeShare(vm: string, free: Resources): number {
    const worker = this.#workers.get(vm);
    return worker ? free.cores / worker.cores + free.memoryMib / worker.memoryMib : 0;
  }
}
