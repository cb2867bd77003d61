import type { LeavingSet } from '../backends/index.js';
import { LeavingReason } from '../events/index.js';
import type { RunningMembership } from '../membership/index.js';

/**
 * Takes over the leaving VMs that other members of the zone report in heartbeats. The configuration
 * follows only after a commit, which a slow or busy platform delays beyond the bound for new work.
 */
export function followLeavingReports(
  membership: Pick<RunningMembership, 'self' | 'onHeartbeat'>,
  leaving: Pick<LeavingSet, 'add'>,
): void {
  membership.onHeartbeat(({ info }, { leaving: reported = [] }) => {
    if (info.zone !== membership.self.zone) return;
    for (const vm of reported) leaving.add(vm, LeavingReason.PeerReport);
  });
}
