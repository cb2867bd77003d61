import type { MembershipSettings } from './defaults.js';

/**
 * Size of a heartbeat without load, draining VMs and members: a frame of at most 96 bytes and 66
 * bytes of Ethernet, IP and TCP headers, because each heartbeat is sent in its own TCP segment.
 */
export const FIXED_HEARTBEAT_BYTES = 162;

/** Size of one member in the member list of a heartbeat. */
export const DIGEST_ENTRY_BYTES = 150;

/** Minimum number of bytes for load in a heartbeat, so that every service is reported in time. */
export const MIN_LOAD_BYTES = 48;

/** Share of the byte budget for heartbeats to members of the same zone. */
const ZONE_BUDGET_SHARE = 0.5;

const MS_PER_SECOND = 1_000;

/** Settings that determine the interval and the size of heartbeats. */
export type HeartbeatBudget = Pick<
  MembershipSettings,
  | 'heartbeatBytesPerSecond'
  | 'zoneHeartbeatMs'
  | 'remoteHeartbeatMs'
  | 'maxRemoteHeartbeatMs'
  | 'digestSize'
>;

/** Interval between heartbeats and the size of the load report in each of them. */
export interface HeartbeatPlan {
  intervalMs: number;
  /** Maximum size of load, draining VMs and leaving VMs in one heartbeat. */
  loadBytes: number;
}

/**
 * Plans heartbeats to the members of the same zone. Their interval is fixed because it determines
 * how fast executors change owners, so the budget limits the size of the load report instead.
 */
export function planZoneHeartbeats(budget: HeartbeatBudget, members: number): HeartbeatPlan {
  const intervalMs = budget.zoneHeartbeatMs;
  return { intervalMs, loadBytes: loadBytesPerHeartbeat(budget, members, intervalMs) };
}

/**
 * Plans heartbeats to members of other zones. Their interval grows with the number of members once
 * the shortest interval would exceed the budget.
 */
export function planRemoteHeartbeats(budget: HeartbeatBudget, members: number): HeartbeatPlan {
  const bytesPerSecond = budget.heartbeatBytesPerSecond * (1 - ZONE_BUDGET_SHARE);
  const roundBytes =
    members * (FIXED_HEARTBEAT_BYTES + MIN_LOAD_BYTES) + budget.digestSize * DIGEST_ENTRY_BYTES;
  const budgetIntervalMs = Math.ceil((roundBytes * MS_PER_SECOND) / bytesPerSecond);
  const maxIntervalMs = Math.max(budget.remoteHeartbeatMs, budget.maxRemoteHeartbeatMs);
  const intervalMs = Math.min(maxIntervalMs, Math.max(budget.remoteHeartbeatMs, budgetIntervalMs));
  return { intervalMs, loadBytes: loadBytesPerHeartbeat(budget, members, intervalMs) };
}

/** Bytes left for load in each heartbeat of a round that spends its share of the budget. */
function loadBytesPerHeartbeat(
  budget: HeartbeatBudget,
  members: number,
  intervalMs: number,
): number {
  const bytesPerSecond = budget.heartbeatBytesPerSecond * ZONE_BUDGET_SHARE;
  const roundBytes =
    (bytesPerSecond * intervalMs) / MS_PER_SECOND - budget.digestSize * DIGEST_ENTRY_BYTES;
  const bytesPerMember = Math.floor(roundBytes / Math.max(1, members));
  return Math.max(MIN_LOAD_BYTES, bytesPerMember - FIXED_HEARTBEAT_BYTES);
}
