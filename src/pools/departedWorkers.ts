import { VmState, type ListedVm } from '../batch/ports.js';
import type { ServiceLoad } from '../batch/serviceLoad.js';

/**
 * How long a worker must have been silent when the VM list is requested. Longer than it takes a
 * worker that has just started to appear in the list.
 */
const MIN_SILENCE_MS = 1_000;

/** A worker that no VM runs any more and that its holder still counts as one. */
export interface DepartedWorker {
  service: string;
  worker: string;
  /** Start time of its process; another process with the same id has not left. */
  bornMs: number;
}

interface SilentWorker extends DepartedWorker {
  /** Monotonic time of the first report of its silence, in milliseconds. */
  since: number;
  /** Monotonic time at which the first list without it was requested, in milliseconds. */
  missingSince?: number;
  /** Monotonic time at which the list of the last report was requested, in milliseconds. */
  reportedBy?: number;
}

/**
 * Finds workers that have left without the knowledge of their holder. A worker counts as one if its
 * holder gets no answer from it, and if it is missing in two VM lists that were requested later; a
 * single one that was read while VMs change may lack some. Failure pattern: VMs are moved or end while
 * the store is down, and the processes that know of it end before it returns.
 */
export class DepartedWorkers {
  #silentWorkers: ReadonlyMap<string, SilentWorker> = new Map();

  /**
   * Records which workers do not answer.
   *
   * @param loads - loads as reported by the holders, by service
   * @param now - monotonic time after the reports, in milliseconds
   */
  observe(loads: ReadonlyMap<string, ServiceLoad>, now: number): void {
    const current = new Map<string, SilentWorker>();
    for (const [service, { workers }] of loads) {
      for (const { id: worker, silentBornMs: bornMs } of workers) {
        if (bornMs === undefined) continue;
        const key = `${service} ${worker} ${bornMs}`;
        current.set(key, this.#silentWorkers.get(key) ?? { service, worker, bornMs, since: now });
      }
    }
    this.#silentWorkers = current;
  }

  /**
   * Whether a new list is worth its cost: it can decide on a silent worker on which the last one could
   * not, or the holder has not handled the notice that one has left.
   *
   * @param listedAt - monotonic time at which the last list was requested, in milliseconds
   */
  needsList(listedAt: number, now: number): boolean {
    for (const { since, missingSince } of this.#silentWorkers.values()) {
      const isDecidable = since + MIN_SILENCE_MS <= now;
      const isOpen = since + MIN_SILENCE_MS > listedAt || missingSince !== undefined;
      if (isDecidable && isOpen) return true;
    }
    return false;
  }

  /**
   * Lists the silent workers that no VM runs, each once per list.
   *
   * @param vms - all VMs
   * @param listedAt - monotonic time at which their list was requested, in milliseconds
   */
  find(vms: Iterable<ListedVm>, listedAt: number): DepartedWorker[] {
    const silent = [...this.#silentWorkers.values()].filter(
      ({ since }) => since + MIN_SILENCE_MS <= listedAt,
    );
    if (silent.length === 0) return [];
    const present = new Set<string>();
    for (const { worker, state } of vms) {
      const mayRun = state !== VmState.Moving && state !== VmState.Upkeep;
      if (worker !== undefined && mayRun) present.add(worker);
    }
    const departed: DepartedWorker[] = [];
    for (const entry of silent) {
      const { service, worker, bornMs } = entry;
      if (present.has(worker)) {
        delete entry.missingSince;
        continue;
      }
      entry.missingSince ??= listedAt;
      if (entry.missingSince === listedAt || entry.reportedBy === listedAt) continue;
      entry.reportedBy = listedAt;
      departed.push({ service, worker, bornMs });
    }
    return departed;
  }
}
