import type { LeavingSet } from '../backends/index.js';
import { LeavingSign } from '../events/index.js';
import type { RunningMembership } from '../membership/index.js';

/**
 * Adds the leaving VMs that other members of the zone report in heartbeats to the leaving set. The
 * configuration shows them only after a commit, and a slow or busy platform can delay the commit
 * beyond the time limit within which a leaving VM must stop getting new work.
 */
export function applyLeavingReports(
  membership: Pick<RunningMembership, 'self' | 'onHeartbeat'>,
  leaving: Pick<LeavingSet, 'add'>,
): void {
  membership.onHeartbeat(({ info }, { leaving: reportedVms = [] }) => {
    if (info.zone !== membership.self.zone) return;
    for (const vm of reportedVms) leaving.add(vm, LeavingSign.PeerReport);
  });
}
