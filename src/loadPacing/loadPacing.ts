import { clamp } from '../validation/index.js';
import { loadPacingDefaults } from './defaults.js';
import type { LoadPacingDeps } from './types.js';

const { idleShare, fullShare, maxListPauseMs, maxRoundPauseMs, smoothing } = loadPacingDefaults;

/**
 * Spaces a holder's recurring work by how busy its process is. Answers a peak of short tasks: lists of
 * runs and placement rounds that cover several events each leave the processor to acceptances and
 * starts, which callers wait for one after the other.
 */
export class LoadPacing {
  readonly #deps: LoadPacingDeps;
  #busyShare = 0;

  constructor(deps: LoadPacingDeps) {
    this.#deps = deps;
  }

  /** Measures the load since the last call; to be called at regular intervals. */
  update(): void {
    const share = this.#deps.busyShare?.() ?? 0;
    this.#busyShare += (share - this.#busyShare) * smoothing;
  }

  /** Pause in milliseconds before the next list of the runs of a worker that reported ends. */
  get listPauseMs(): number {
    return this.#pressure * maxListPauseMs;
  }

  /** Shortest time in milliseconds between two placement rounds. */
  get roundPauseMs(): number {
    return this.#pressure * maxRoundPauseMs;
  }

  /** From 0 at low load to 1 at full load. */
  get #pressure(): number {
    return clamp((this.#busyShare - idleShare) / (fullShare - idleShare), { min: 0, max: 1 });
  }
}
