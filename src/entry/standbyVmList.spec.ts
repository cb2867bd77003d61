import test from 'ava';
import { createEventBus, EventName, LeavingSign } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import type { Membership } from '../membership/index.js';
import { ListedVmState } from '../platform/index.js';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { runStandbyVmList } from './standbyVmList.js';

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

/** Announcements of one process in five readings, the VM leaving during the first three. */
async function announcements(name: string, holdsZoneLease: boolean): Promise<string[]> {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  platform.addLiveVms('z', ['v', 'w']);
  platform.vms.set('v', { id: 'v', zone: 'z', state: ListedVmState.Leaving });
  const events = createEventBus();
  const heard: string[] = [];
  events.on(EventName.VmLeaving, ({ vm, sign }) => void heard.push(`${vm} ${sign}`));
  const lifecycle = new Lifecycle('test');
  const { vmList } = platform.client();
  const task = runStandbyVmList(
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
  return heard;
}

// Guards against a leaving VM that nobody notices while the zone has no working lease holder.
test('two members of the zone announce a leaving VM with each reading, until it is back', async (t) => {
  const heard = await Promise.all(NAMES.map((name) => announcements(name, false)));
  const readers = heard.filter((each) => each.length > 0);
  t.is(readers.length, 2);
  const sign = `v ${LeavingSign.VmListStandby}`;
  for (const each of readers) t.deepEqual(each, [sign, sign, sign]);
});

// Guards against reading the list twice in one process.
test('the lease holder leaves the reading to its controller', async (t) => {
  const heard = await Promise.all(NAMES.map((name) => announcements(name, true)));
  t.deepEqual(heard.flat(), []);
});
