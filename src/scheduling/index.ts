export * from './types.js';
export { schedulingSchema, SchedulingPolicyId, type SchedulingSettings } from './defaults.js';
export { createScheduler, type SchedulerOptions } from './createScheduler.js';
export {
  schedulingPolicies,
  type SchedulingPolicy,
  type SizeHint,
  type SlotShares,
} from './policies.js';
