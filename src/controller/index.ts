export { controllerDefaults, controllerSchema, type ControllerSettings } from './defaults.js';
export { createControllerMetrics, type ControllerMetrics } from './metrics.js';
export {
  ControllerError,
  ControllerErrorCode,
  ProbeResult,
  type ControllerConfig,
  type ControllerContext,
  type ControllerDeps,
  type HeldLease,
  type LeaseRow,
} from './types.js';
export { leaseKey, runZoneLease, type ZoneLeaseDeps } from './lease.js';
export { createSerialise, Priority, type Serialise } from './serialise.js';
