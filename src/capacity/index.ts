export {
  capacityDefaults,
  CapacityPolicyId,
  capacitySchema,
  type CapacitySettings,
} from './defaults.js';
export {
  MoveReason,
  MoveRefusal,
  type BufferSize,
  type CapacityDecision,
  type CapacityInput,
  type CapacityPolicy,
  type CommitMoves,
  type ConsumeBudget,
  type MoveRequest,
  type PoolLoad,
} from './types.js';
export { createBudgetConsumer, minBufferVms } from './buffer.js';
export { capacityPolicies } from './policies.js';
export { costOf, returnThreshold, savingOf, type MoveEstimate } from './costs.js';
export { DemandHistory } from './demandHistory.js';
export { fleetLoad, loadByPool } from './loads.js';
export { createCapacityMetrics, type CapacityMetrics } from './metrics.js';
export { decideRound, runCapacityPolicy, type CapacityDeps } from './capacityPolicy.js';
export { createCapacityCommit } from './commit.js';
