import type { BusyMeter } from '../clock/index.js';

/** Dependencies of a `LoadPacing`. */
export interface LoadPacingDeps {
  /** Undefined where the time of the process is not measured; nothing is paused then. */
  busyShare?: BusyMeter;
}
