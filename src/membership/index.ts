export * from './types.js';
export { membershipSchema, type MembershipSettings } from './defaults.js';
export { rendezvousOwner } from './rendezvous.js';
export { MAX_RETIRED, MemberTable, type MemberEntry } from './memberTable.js';
export {
  MEMBER_PREFIX,
  deregisterMember,
  memberKey,
  registerMember,
  registeredMembers,
  registeredMemberNames,
} from './registration.js';
export {
  DIGEST_ENTRY_BYTES,
  FIXED_HEARTBEAT_BYTES,
  MIN_LOAD_BYTES,
  planRemoteHeartbeats,
  planZoneHeartbeats,
  type HeartbeatBudget,
  type HeartbeatPlan,
} from './heartbeatPlan.js';
export { LoadReporter, loadEntryBytes, mergeLoad } from './loadReport.js';
export {
  createMembership,
  type HeartbeatListener,
  type HeartbeatSources,
  type MembershipOptions,
  type RunningMembership,
} from './membership.js';
export { createMemberRowSweep, type MemberRowSweepDeps } from './rowSweep.js';
