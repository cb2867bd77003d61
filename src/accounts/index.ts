export { compareOwner, JobOwner, mayAccessJob } from './access.js';
export { accountRuleDefaults } from './defaults.js';
export { AccountError, AccountErrorCode, KeyRefusal, KeyRefusalReason } from './errors.js';
export { digestOfKey } from './keyDigest.js';
export { KeyRegistry, type KeyRegistryDeps } from './keyRegistry.js';
export { RefusalLog } from './refusalLog.js';
export type { Account, AccountRules, Moment } from './types.js';
export { AccountUsage } from './accountUsage.js';
export { FairBacklog, type ItemAccount } from './fairBacklog.js';
export { fairOrder, type FairOrderRules } from './fairOrder.js';
export { JobRates, type CountedJob } from './jobRates.js';
export {
  dominantShare,
  effectiveWeight,
  otherWorkAhead,
  perWeight,
  sharedWorkAhead,
  weightedPart,
  type ResourceAmounts,
} from './shares.js';
export { AccountControl } from './accountControl.js';
export {
  AdmissionRefusal,
  AdmissionRefusalCode,
  excessOpenJobs,
  refuseHopeless,
  SHARED_FILL,
  workAheadOf,
  type JobRequest,
  type OpenJobs,
  type QueuedWork,
  type ServiceBacklog,
} from './admission.js';
