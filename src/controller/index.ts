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
export {
  AwayReason,
  awayReason,
  Budget,
  BudgetError,
  BudgetRule,
  countPool,
  rackKey,
  servicesByPool,
  slotsOf,
  type BudgetOptions,
  type ReadonlyBudget,
  type PoolCount,
} from './budget.js';
export {
  catchUp,
  commitDecision,
  CommitQueue,
  Priority,
  type DecisionFunction,
  type DecisionResult,
} from './commit.js';
export { awaitDrained, DrainOutcome, type DrainOptions } from './confirmation.js';
export {
  grantStops,
  runStop,
  StopOutcome,
  cancelReason,
  type GrantOptions,
  type StopRequest,
} from './stops.js';
export { recordStatus, runVmStatus, statusChanges, type ZoneObservation } from './vmStatus.js';
export { createContext } from './context.js';
export { runZoneController, type ZoneControllerDeps } from './controller.js';
export { createZoneReports, type ZoneReports } from './zoneReports.js';
export { MoveOutcome, runMove, startMoves, UndoReason, undoReason } from './moves.js';
export {
  createLentVmReconciler,
  lendForBudgets,
  planLoans,
  type ReconcileLentVms,
} from './lending.js';
export { planWave, type PoolPlan, type WavePlan, type WavePlanOptions } from './wavePlan.js';
export {
  createWaveReconciler,
  pauseWave,
  pendingVms,
  startWave,
  type ReconcileWaves,
} from './waves.js';
export { runDrainSweep } from './drainSweep.js';
