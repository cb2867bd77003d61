export * from './types.js';
export { backendsSchema, type BackendsSettings } from './defaults.js';
export {
  createBackendConnections,
  type BackendConnectionsOptions,
} from './createBackendConnections.js';
export {
  createBackendHealth,
  EjectionReason,
  type BackendHealthControl,
  type BackendHealthOptions,
  type Probe,
} from './createBackendHealth.js';
export { createHttpProbe } from './createHttpProbe.js';
export { createChooser, createUsable, type ChooserOptions } from './createChooser.js';
export {
  createLeavingSet,
  leavingByConfig,
  type LeavingSet,
  type LeavingSetOptions,
} from './createLeavingSet.js';
