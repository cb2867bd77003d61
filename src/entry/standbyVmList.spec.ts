import test from 'ava';
import { createEventBus, EventName, LeavingSign } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import type { Membership } from '../membership/index.js';
import { ListedVmState } from '../platform/index.js';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { runStandbyVmListReader } from './standbyVmList.js';

const NAMES = ['a', 'b', 'c', 'd'];
const INTERVAL_MS = 1_000;

const memberOf = (name: string) => ({
  ...{ name, zone: 'z', host: '', port: 0, incarnation: name, startedAt: 0 },
});

function membershipOf(name: string): Membership {
  return {
    self: memberOf(name),
    members: () => [],
    member: () => undefined,
    liveMembers: () => NAMES.map(memberOf),
    ownerOf: () => undefined,
  };
}

/**
 * Returns the signs that one process publishes in five reads of the VM list, of which the first
 * three show a leaving VM.
 */
async function publishedSigns(name: string, holdsZoneLease: boolean): Promise<string[]> {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  platform.addLiveVms('z', ['v', 'w']);
  platform.vms.set('v', { id: 'v', zone: 'z', state: ListedVmState.Leaving });
  const events = createEventBus();
  const published: string[] = [];
  events.on(EventName.VmLeaving, ({ vm, sign }) => void published.push(`${vm} ${sign}`));
  const lifecycle = new Lifecycle('test');
  const { vmList } = platform.client();
  const task = runStandbyVmListReader(
    {
      ...{ vmList, events, clock, intervalMs: INTERVAL_MS },
      membership: membershipOf(name),
      holdsZoneLease: () => holdsZoneLease,
    },
    lifecycle,
  );
  await clock.advance(2.5 * INTERVAL_MS);
  platform.addLiveVms('z', ['v']);
  await clock.advance(2 * INTERVAL_MS);
  await lifecycle.close();
  await task;
  return published;
}

// Guards against a leaving VM that goes undetected while the zone has no working lease holder.
test('two members of the zone publish a leaving VM after each read of the VM list until it is back', async (t) => {
  const published = await Promise.all(NAMES.map((name) => publishedSigns(name, false)));
  const readers = published.filter((each) => each.length > 0);
  t.is(readers.length, 2);
  const sign = `v ${LeavingSign.VmListStandby}`;
  for (const each of readers) t.deepEqual(each, [sign, sign, sign]);
});

// Guards against duplicate reads of the VM list by one process.
test('the lease holder does not publish leaving VMs as a standby reader', async (t) => {
  const published = await Promise.all(NAMES.map((name) => publishedSigns(name, true)));
  t.deepEqual(published.flat(), []);
});
