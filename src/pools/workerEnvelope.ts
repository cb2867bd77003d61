import type { Resources, WorkerRecord } from '../batch/types.js';

/**
 * The largest amounts that workers of a fleet offer; decides which tasks fit on no worker at all.
 * Labels do not count: VMs that are switched off may have others.
 */
export class WorkerEnvelope {
  readonly #largest: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  #isEmpty = true;

  /** @param workers - the registered workers of all services, because VMs move between these */
  constructor(workers: Iterable<Pick<WorkerRecord, 'capacity'>> = []) {
    for (const { capacity } of workers) {
      this.#isEmpty = false;
      for (const kind of kinds) {
        this.#largest[kind] = Math.max(this.#largest[kind], capacity[kind]);
      }
    }
  }

  /** Whether some worker may have the resources for a task; true while no worker is known. */
  mayHold(needs: Resources): boolean {
    return this.#isEmpty || kinds.every((kind) => needs[kind] <= this.#largest[kind]);
  }
}

const kinds = ['cpuMillis', 'memoryMb', 'accelerators'] as const;
