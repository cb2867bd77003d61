import type { Clock } from '../clock/index.js';
import { EventName, LeavingReason, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { rendezvousOwner, type Membership } from '../membership/index.js';
import { ListedVmState, type VmList } from '../platform/index.js';

/** Members of a zone that read the VM list besides the lease holder. */
const STANDBY_READERS = 2;

/** Key by which the readers are chosen among the live members of a zone. */
const READER_KEY = 'vm-list';

/** What {@link runStandbyVmList} works with. */
export interface StandbyVmListDeps {
  membership: Membership;
  vmList: VmList;
  events: EventBus;
  clock: Clock;
  /** Time between two readings, in milliseconds. */
  intervalMs: number;
  holdsZoneLease: () => boolean;
}

/**
 * Reads the VM list of the zone beside the lease holder, so that a leaving VM gets no new work even
 * when the holder has lost the platform and nobody has taken the lease yet. The signs are limited in
 * time and repeated with each reading. Runs until the life cycle is closed.
 */
export async function runStandbyVmList(
  deps: StandbyVmListDeps,
  { signal }: Lifecycle,
): Promise<void> {
  while (!signal.aborted) {
    if (!deps.holdsZoneLease() && isReader(deps.membership)) await announceLeaving(deps);
    await deps.clock.sleep(deps.intervalMs, signal);
  }
}

async function announceLeaving({ membership, vmList, events }: StandbyVmListDeps): Promise<void> {
  const listed = await vmList.list(membership.self.zone);
  if (listed.isErr) return;
  for (const { id: vm, state } of listed.value) {
    if (state !== ListedVmState.Leaving) continue;
    void events.emit(EventName.VmLeaving, { vm, reason: LeavingReason.VmListStandby });
  }
}

/** Whether this process is among the first live members of the zone in rendezvous order. */
function isReader(membership: Membership): boolean {
  const { self } = membership;
  let names = membership.liveMembers(self.zone).map(({ name }) => name);
  for (let rank = 0; rank < STANDBY_READERS; rank++) {
    const reader = rendezvousOwner(names, READER_KEY);
    if (reader === self.name) return true;
    names = names.filter((name) => name !== reader);
  }
  return false;
}
