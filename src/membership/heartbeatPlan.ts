import type { MembershipSettings } from './defaults.js';

/**
 * Bytes of a heartbeat without load, draining VMs and members: at most 96 of the frame, and 66 of
 * Ethernet, IP and TCP headers, since each heartbeat is a segment of its own.
 */
export const FIXED_HEARTBEAT_BYTES = 162;

/** Bytes that one member takes in the list of members. */
export const DIGEST_ENTRY_BYTES = 150;

/** Least room in bytes for load in a heartbeat, so that every service is reported in time. */
export const MIN_LOAD_BYTES = 48;

/** Part of the budget that heartbeats to the own zone may use. */
const ZONE_BUDGET_SHARE = 0.5;

const MS_PER_SECOND = 1_000;

/** Settings that decide the cost of heartbeats. */
export type HeartbeatBudget = Pick<
  MembershipSettings,
  | 'heartbeatBytesPerSecond'
  | 'zoneHeartbeatMs'
  | 'remoteHeartbeatMs'
  | 'maxRemoteHeartbeatMs'
  | 'digestSize'
>;

/** Time between heartbeats and room for load in each of them. */
export interface HeartbeatPlan {
  intervalMs: number;
  /** Bytes for load and draining VMs in one heartbeat. */
  loadBytes: number;
}

/**
 * Plans heartbeats to the members of the own zone. Their interval is fixed, because executors
 * change owners by it, so the room for load follows from the budget.
 */
export function planZoneHeartbeats(budget: HeartbeatBudget, members: number): HeartbeatPlan {
  const intervalMs = budget.zoneHeartbeatMs;
  return { intervalMs, loadBytes: loadBytesPerHeartbeat(budget, members, intervalMs) };
}

/**
 * Plans heartbeats to members of other zones. Their interval grows with the number of members as
 * soon as the shortest interval would exceed the budget.
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
