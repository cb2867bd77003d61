export * from './types.js';
export { jobsSchema, type JobsSettings } from './defaults.js';
export {
  CancelOutcome,
  createJobStore,
  jobSpecSchema,
  type JobStore,
  type JobStoreDeps,
  type Submission,
} from './jobStore.js';
export {
  createJobController,
  fitsSomeWorker,
  type JobController,
  type VacateStatus,
} from './jobController.js';
export type { JobControllerDeps } from './context.js';
export { defaultJobPolicy, RunEnd, type JobPolicy } from './policy.js';
export { ResourceModel } from './resourceModel.js';
export { WorkerHealth } from './workerHealth.js';
export { jobKeys } from './rows.js';
export { createJobRoutes, jobErrorInfo, type JobRouteDeps } from './callerRoutes.js';
export { sweepEndedJobs, type EndedJobSweep } from './endedJobs.js';
