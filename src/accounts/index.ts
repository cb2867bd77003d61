export { compareOwner, JobOwner, mayAccessJob } from './access.js';
export { accountRuleDefaults, FULL_RETRY_MS, UNSTORABLE_RETRY_MS } from './defaults.js';
export { AccountError, AccountErrorCode, KeyRefusal, KeyRefusalReason } from './errors.js';
export { digestOfKey } from './keyDigest.js';
export { KeyRegistry, type KeyRegistryDeps } from './keyRegistry.js';
export { RecentIds } from './recentIds.js';
export { RefusalLog } from './refusalLog.js';
export type { Account, AccountRules } from './types.js';
export { chooseStates, stateFields, stateGauges, type AccountState } from './accountState.js';
export { AccountUsage } from './accountUsage.js';
export { FairBacklog, type ItemAccount } from './fairBacklog.js';
export { fairOrder, type FairOrderRules } from './fairOrder.js';
export { JobCounting, type JobCountingDeps } from './jobCounting.js';
export { readJobOwner } from './jobOwner.js';
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
  type JobTimes,
  type OpenJobs,
  type QueuedWork,
  type ServiceBacklog,
} from './admission.js';
export {
  capOf,
  divide,
  isBeyondCap,
  isWantedChange,
  maxMinShare,
  usableGrant,
  type Division,
  type DivisionInput,
} from './budgetDivision.js';
export { BudgetLedger } from './budgetLedger.js';
export {
  HeldReason,
  type BudgetLedgerDeps,
  type BudgetPreview,
  type StartDecision,
} from './budgetTypes.js';
export {
  BudgetError,
  BudgetErrorCode,
  budgetKey,
  BUDGET_PART,
  BUDGET_TABLE,
  decodeBudget,
  encodeBudget,
  type BudgetRow,
  type BudgetShare,
} from './budgetRow.js';
export { LoadAdmission, type AdmissionPreview, type LoadAdmissionDeps } from './loadAdmission.js';
export { PoolUsage, type PoolUsageDeps } from './poolUsage.js';
export {
  ServiceAccounts,
  type AccountsPreview,
  type RoundResult,
  type ServiceAccountsDeps,
} from './serviceAccounts.js';
export { refusal, SubmissionChecks, type SubmissionChecksDeps } from './submissionChecks.js';
export { budgetDefaults } from './defaults.js';
export {
  demandTotal,
  largestTask,
  startableDemand,
  type Demand,
  type HeldTasks,
} from './startableDemand.js';
