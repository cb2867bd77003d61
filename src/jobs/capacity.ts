import type { RunState } from './openJobs.js';
import type { Resources, Worker } from './types.js';

/** Whether `need` fits into `room`. */
export function fits(need: Resources, room: Resources): boolean {
  return (
    need.cores <= room.cores &&
    need.memoryMib <= room.memoryMib &&
    need.accelerators <= room.accelerators
  );
}

function minus(room: Resources, use: Resources): Resources {
  return {
    cores: room.cores - use.cores,
    memoryMib: room.memoryMib - use.memoryMib,
    accelerators: room.accelerators - use.accelerators,
  };
}

function plus(room: Resources, use: Resources): Resources {
  return {
    cores: room.cores + use.cores,
    memoryMib: room.memoryMib + use.memoryMib,
    accelerators: room.accelerators + use.accelerators,
  };
}

/** How a worker is chosen among those with room. */
export interface Choice {
  /** Workers that are used only if no other has room. */
  avoid: ReadonlySet<string>;
  /** Workers that are not used. */
  except: ReadonlySet<string>;
  /** Take the worker with the most room instead of the least. */
  spread: boolean;
}

/** Attempts to end so that a job fits on a worker. */
export interface Eviction {
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
      const free = runsOn(worker.vm).reduce<Resources>((room, { use }) => minus(room, use), worker);
      this.#free.set(worker.vm, free);
    }
  }

  /** Chooses a worker with room for `need`. */
  choose(need: Resources, choice: Choice): string | undefined {
    let best: string | undefined;
    let bestScore = -Infinity;
    for (const [vm, free] of this.#free) {
      if (choice.except.has(vm) || !fits(need, free)) continue;
      const room = this.#roomShare(vm, free);
      const score = (choice.spread ? room : -room) - (choice.avoid.has(vm) ? 1_000 : 0);
      if (score <= bestScore) continue;
      best = vm;
      bestScore = score;
    }
    return best;
  }

  /** Counts with a task that is about to be placed. */
  take(vm: string, need: Resources): void {
    const free = this.#free.get(vm);
    if (free) this.#free.set(vm, minus(free, need));
  }

  hasRoom(vm: string, need: Resources): boolean {
    const free = this.#free.get(vm);
    return free !== undefined && fits(need, free);
  }

  /** The fewest attempts to end so that `need` fits on one worker. */
  planEviction(
    need: Resources,
    evictable: (vm: string) => readonly RunState[],
  ): Eviction | undefined {
    let best: Eviction | undefined;
    for (const [vm, free] of this.#free) {
      const candidates = [...evictable(vm)].sort((a, b) => b.use.cores - a.use.cores);
      const runs: RunState[] = [];
      let room = free;
      for (const state of candidates) {
        if (fits(need, room)) break;
        room = plus(room, state.use);
        runs.push(state);
      }
      if (!fits(need, room)) continue;
      if (!best || runs.length < best.runs.length) best = { vm, runs };
    }
    return best;
  }

  #roomShare(vm: string, free: Resources): number {
    const worker = this.#workers.get(vm);
    return worker ? free.cores / worker.cores + free.memoryMib / worker.memoryMib : 0;
  }
}
