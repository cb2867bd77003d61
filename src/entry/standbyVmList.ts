import type { Clock } from '../clock/index.js';
import { EventName, LeavingSign, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { rendezvousOwner, type Membership } from '../membership/index.js';
import { ListedVmState, type VmList } from '../platform/index.js';

/** Number of members per zone that read the VM list in addition to the lease holder. */
const STANDBY_READERS = 2;

/** Rendezvous hashing key that selects the readers among the live members of a zone. */
const READER_KEY = 'vm-list';

/** Dependencies of {@link runStandbyVmListReader}. */
export interface StandbyVmListReaderDeps {
  membership: Membership;
  vmList: VmList;
  events: EventBus;
  clock: Clock;
  /** Interval between two reads of the VM list. */
  intervalMs: number;
  holdsZoneLease: () => boolean;
}

/**
 * Reads the VM list of the zone on members that do not hold the lease, so that a leaving VM gets no
 * new work even when the holder cannot reach the platform and no other process has taken the lease
 * yet. The published signs expire and are repeated with each read. Runs until the lifecycle is
 * closed.
 */
export async function runStandbyVmListReader(
  deps: StandbyVmListReaderDeps,
  { signal }: Lifecycle,
): Promise<void> {
  while (!signal.aborted) {
    if (!deps.holdsZoneLease() && isStandbyReader(deps.membership)) await publishLeavingVms(deps);
    await deps.clock.sleep(deps.intervalMs, signal);
  }
}

async function publishLeavingVms({
  membership,
  vmList,
  events,
}: StandbyVmListReaderDeps): Promise<void> {
  const listed = await vmList.list(membership.self.zone);
  if (listed.isErr) return;
  for (const { id: vm, state } of listed.value) {
    if (state !== ListedVmState.Leaving) continue;
    void events.emit(EventName.VmLeaving, { vm, sign: LeavingSign.VmListStandby });
  }
}

/** Whether this process is among the first live members of the zone in rendezvous order. */
function isStandbyReader(membership: Membership): boolean {
  const { self } = membership;
  let candidates = membership.liveMembers(self.zone).map(({ name }) => name);
  for (let rank = 0; rank < STANDBY_READERS; rank++) {
    const reader = rendezvousOwner(candidates, READER_KEY);
    if (reader === self.name) return true;
    candidates = candidates.filter((name) => name !== reader);
  }
  return false;
}
