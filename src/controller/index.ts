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
  type BudgetReport,
  type PoolCount,
} from './budget.js';
export {
  catchUp,
  commitDecision,
  CommitQueue,
  Priority,
  type Decide,
  type Decided,
} from './commit.js';
export { awaitDrained, DrainEnd, type DrainWait } from './confirmation.js';
export {
  grantStops,
  runStop,
  StopEnd,
  whyCancel,
  type GrantOptions,
  type StopRequest,
} from './stops.js';
export { recordStatus, runVmStatus, statusChanges, type ZoneObservation } from './vmStatus.js';
export { createContext } from './context.js';
export { runZoneController, type ZoneControllerDeps } from './controller.js';
export { createZoneReports, type ZoneReports } from './zoneReports.js';
export { MoveEnd, runMove, startMoves, UndoReason, whyUndo } from './moves.js';
export { createReturnLent, lendForBudgets, loans, type ReturnLent } from './lending.js';
export { planWave, type PoolPlan, type WavePlan, type WavePlanOptions } from './wavePlan.js';
export {
  createWaveReconciler,
  pauseWave,
  pendingVms,
  startWave,
  type ReconcileWaves,
} from './waves.js';
export { runDrainSweep } from './drainSweep.js';
