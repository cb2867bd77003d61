export type { Account, AccountRules } from './types.js';
export { AccountUsage } from './accountUsage.js';
export { DEFAULT_RATE_WINDOW_MS } from './defaults.js';
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
