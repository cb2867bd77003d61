export * from './types.js';
export { backendsSchema, type BackendsSettings } from './defaults.js';
export {
  createBackendConnections,
  type BackendConnectionsOptions,
} from './createBackendConnections.js';
export {
  createBackendHealth,
  EjectionReason,
  type BackendHealthTracker,
  type BackendHealthOptions,
  type Probe,
} from './createBackendHealth.js';
export { createHttpProbe } from './createHttpProbe.js';
export {
  createExecutorChooser,
  createUsablePredicate,
  type ExecutorChooserOptions,
} from './createExecutorChooser.js';
export {
  createLeavingSet,
  leavingVmsInConfig,
  type LeavingSet,
  type LeavingSetOptions,
} from './createLeavingSet.js';
