import type { RunState } from './openJobs.js';
import type { Resources, Worker } from './types.js';

/** Whether `need` fits into the available resources. */
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

/** Criteria for choosing a worker that has enough free resources. */
export interface WorkerSelection {
  /** VMs that are chosen only if no other has enough free resources. */
  avoid: ReadonlySet<string>;
  /** VMs that are never chosen. */
  exclude: ReadonlySet<string>;
  /** Prefer the worker with the most free resources instead of the one with the least. */
  spread: boolean;
}

/** Attempts to evict from a VM so that a job fits on it. */
export interface EvictionPlan {
  vm: string;
  runs: RunState[];
}

/** Tracks the free resources of usable workers during one placement round. */
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

  /** Returns the VM of the best worker on which `need` fits; undefined if there is none. */
  chooseWorker(need: Resources, selection: WorkerSelection): string | undefined {
    let best: string | undefined;
    let bestScore = -Infinity;
    for (const [vm, free] of this.#free) {
      if (selection.exclude.has(vm) || !fits(need, free)) continue;
      const freeShare = this.#freeShare(vm, free);
      // Larger than any difference in free share, so that avoided workers rank last.
      const score =
        (selection.spread ? freeShare : -freeShare) - (selection.avoid.has(vm) ? 1_000 : 0);
      if (score <= bestScore) continue;
      best = vm;
      bestScore = score;
    }
    return best;
  }

  /** Subtracts a task's resources from the free resources of its VM. */
  allocate(vm: string, need: Resources): void {
    const free = this.#free.get(vm);
    if (free) this.#free.set(vm, subtract(free, need));
  }

  hasRoom(vm: string, need: Resources): boolean {
    const free = this.#free.get(vm);
    return free !== undefined && fits(need, free);
  }

  /**
   * Finds the VM on which the fewest attempts must be evicted for `need` to fit.
   *
   * @param evictable - attempts on a VM that may be evicted
   */
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

  /** Sum of the free shares of the worker's cores and memory; at most 2. */
  #freeShare(vm: string, free: Resources): number {
    const worker = this.#workers.get(vm);
    return worker ? free.cores / worker.cores + free.memoryMib / worker.memoryMib : 0;
  }
}
