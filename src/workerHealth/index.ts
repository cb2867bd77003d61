export { healthDefaults } from './defaults.js';
export { Judgement, type JudgementDeps } from './judgement.js';
export { decodeOpinion, encodeOpinion, type StoredOpinion } from './opinion.js';
export { OpinionLink, type OpinionLinkDeps } from './opinionLink.js';
export { createOpinionRows } from './opinionRows.js';
export { poolNeeds } from './poolNeeds.js';
export { RunHealth, type RunHealthDeps } from './runHealth.js';
export {
  OpinionError,
  OpinionErrorCode,
  OutlierReason,
  ReturnReason,
  RunOutcome,
  Standing,
  type EndedRun,
  type HealthSettings,
  type JudgedWorker,
  type OpenRun,
  type PoolNeeds,
} from './types.js';
export { WorkerHealth, type WorkerHealthDeps } from './workerHealth.js';
