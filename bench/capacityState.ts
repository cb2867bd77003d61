import {
  AdoptionSource,
  EntityKind,
  VmState,
  checkChangeSet,
  createConfigStore,
  configurationDefaults,
  type ChangeSet,
  type ConfigDelta,
  type ConfigSnapshot,
  type ConfigStore,
} from '../src/configuration/index.js';
import { AwayReason, Budget, planWave, ProbeResult } from '../src/controller/index.js';
import { statusChanges } from '../src/controller/vmStatus.js';
import { createZoneReports } from '../src/controller/zoneReports.js';
import { ListedVmState } from '../src/platform/index.js';
import { ownedExecutors } from '../src/entry/ownership.js';
import { rendezvousOwner, type Membership } from '../src/membership/index.js';
import { RequestLedger } from '../src/requests/ledger.js';
import { requestsSchema } from '../src/requests/index.js';
import { createScheduler, schedulingSchema } from '../src/scheduling/index.js';
import { createVirtualClock } from '../src/testing/index.js';
import {
  assignmentChange,
  commonDeps,
  designMembers,
  designSnapshot,
  vmId,
  type FleetSize,
} from './designFleet.js';
import { cpuOf, measureSlope, memoryOf, type Slope } from './slopes.js';

/** Numbers of VMs; the last is the design size. */
const VM_SIZES = [45, 5_000, 10_000, 21_000];

/** Entry processes of a zone at the design size. */
const MEMBERS_PER_ZONE = 7;

function createStore(): ConfigStore {
  return createConfigStore({ ...configurationDefaults, ...commonDeps() });
}

function createLoadedStore(size: Partial<FleetSize>): ConfigStore {
  const store = createStore();
  store.adoptSnapshot(designSnapshot(size), AdoptionSource.Platform);
  return store;
}

/** Returns a function that applies another change to a store on each call. */
function createDeltaAdopter(store: ConfigStore): () => void {
  return () => {
    const version = store.view.version + 1;
    const changes = [assignmentChange(version % 40, version % 2)];
    const delta = { changeId: `c${version}`, author: 'controller/zone-0', changes, version };
    store.adoptDelta(delta, AdoptionSource.Peer);
  };
}

const statusChange: ChangeSet = {
  changeId: 'check-1',
  author: 'controller/zone-0',
  changes: [
    { kind: EntityKind.VmStatus, id: vmId(7), value: { id: vmId(7), state: VmState.Failed } },
  ],
};

/** Creates a change of one VM by an operator, to which all rules about VMs apply. */
function createVmChange(snapshot: ConfigSnapshot): ChangeSet {
  const vm = snapshot.entities.vm[7];
  const changes = vm ? [{ kind: EntityKind.Vm as const, id: vm.id, value: vm }] : [];
  return { changeId: 'check-2', author: 'operator', changes };
}

/** Measures the memory of the configuration view, retained versions, queues and request ledger. */
export async function memorySlopes(): Promise<Slope[]> {
  const clock = createVirtualClock();
  const storeMemory = (size: Partial<FleetSize>) =>
    memoryOf(() => {
      const store = createLoadedStore({ vms: 45, pools: 5, teams: 5, ...size });
      // Arrays returned to readers are cached until the next change.
      store.view.list(EntityKind.Vm);
      return store;
    });
  return [
    await measureSlope('view, memory', 'bytes per VM', VM_SIZES, 3, (vms) => storeMemory({ vms })),
    await measureSlope('view, memory', 'bytes per team', [100, 490, 2_000], 3, (teams) =>
      storeMemory({ teams }),
    ),
    await measureSlope(
      'view, memory',
      'bytes per pool with service',
      [92, 500, 2_000],
      3,
      (pools) => storeMemory({ pools }),
    ),
    await measureSlope(
      'kept versions, memory',
      'bytes per version',
      [100, 500, 1_000],
      3,
      (count) =>
        memoryOf(() => {
          const store = createLoadedStore({ vms: 45, pools: 5, teams: 5 });
          for (let i = 0; i < count; i++) store.adoptDelta(createDelta(i + 2), AdoptionSource.Peer);
          return store;
        }),
    ),
    await measureSlope('queues, memory', 'bytes per waiting request', [250, 1_000, 2_000], 3, (n) =>
      memoryOf(() => createWaitingRequests(n)),
    ),
    await measureSlope(
      'request ledger, memory',
      'bytes per unused id',
      [2_000, 10_000, 20_000],
      3,
      (n) =>
        memoryOf(() => {
          const [self] = designMembers(1);
          if (!self) return undefined;
          const ledger = new RequestLedger(self, clock, requestsSchema.parse({}));
          for (let i = 0; i < n; i++) ledger.add(ledger.newId(), `team-${i % 490}`);
          return ledger;
        }),
    ),
  ];
}

function createDelta(version: number): ConfigDelta {
  const changes = [assignmentChange(version % 40, version % 2)];
  const delta = {
    changeId: `controller/zone-0/7/${version}`,
    author: 'controller/zone-0',
    changes,
  };
  return JSON.parse(JSON.stringify({ ...delta, version })) as ConfigDelta;
}

/** Creates a scheduler with one busy slot and `count` waiting requests with abort signals. */
function createWaitingRequests(count: number) {
  const { metrics } = commonDeps();
  const clock = createVirtualClock();
  const limits = { maxQueued: count + 1, maxRunning: 1_000, maxUrgent: 8, maxJobs: 1 };
  const scheduler = createScheduler({
    ...{ clock, metrics, settings: schedulingSchema.parse({}) },
    service: (id) => ({ id, pool: id, maxQueued: count + 1, spill: true, minAvailableSlots: 0 }),
    team: (id) => ({ id, weight: 1, ...limits }),
    choose: ([first]) => first,
  });
  scheduler.setExecutors([{ vm: 'vm', service: 's', slots: 1 }]);
  const controllers = Array.from({ length: count + 1 }, () => new AbortController());
  const results = controllers.map(({ signal }, i) =>
    scheduler.submit({
      ...{ requestId: `entry-0.0000000000000001.${i}`, service: 's', team: `team-${i % 49}` },
      ...{ urgent: false, operation: 'GET /draws', deadline: 10_000_000_000, signal },
    }),
  );
  return { scheduler, controllers, results, clock };
}

/** Measures the CPU time of adopting and checking changes, counting permits and planning waves. */
export async function cpuSlopes(): Promise<Slope[]> {
  const unit = 'microseconds per VM';
  return [
    await measureSlope('adopt a delta, bare', unit, VM_SIZES, 3, (vms) =>
      cpuOf(createDeltaAdopter(createLoadedStore({ vms }))),
    ),
    await measureSlope('adopt a delta, with owners', unit, VM_SIZES, 3, (vms) => {
      const store = createLoadedStore({ vms });
      const membership = createFixedMembership();
      const adopt = createDeltaAdopter(store);
      return cpuOf(() => {
        adopt();
        ownedExecutors(store.view, membership);
      });
    }),
    await measureSlope('check a change set: state of a VM', unit, VM_SIZES, 3, (vms) => {
      const { view } = createLoadedStore({ vms });
      return cpuOf(() => void checkChangeSet(view, statusChange));
    }),
    await measureSlope('check a change set: a VM', unit, VM_SIZES, 3, (vms) => {
      const snapshot = designSnapshot({ vms });
      const { view } = createLoadedStore({ vms });
      return cpuOf(() => void checkChangeSet(view, createVmChange(snapshot)));
    }),
    await measureSlope(
      'count a permit',
      'microseconds per VM of the pool',
      [9, 228, 1_000],
      3,
      (n) => {
        const { view } = createLoadedStore({ vms: n, pools: 1, zones: 13 });
        return cpuOf(() => {
          new Budget(view, { silentZones: new Set() }).grant(vmId(1), AwayReason.Stop);
        });
      },
    ),
    await measureSlope('VM states of a zone, one reading', unit, VM_SIZES, 3, (vms) => {
      const { view } = createLoadedStore({ vms });
      const listed = view.vmsOfZone('zone-0').map(({ id }) => ({ id, state: ListedVmState.Live }));
      const observation = { zone: 'zone-0', listed, lastProbe: () => ProbeResult.Healthy };
      return cpuOf(() => void statusChanges(view, observation));
    }),
    await measureSlope('leases of all zones, one reading', unit, VM_SIZES, 3, (vms) => {
      const { view } = createLoadedStore({ vms });
      const reports = createZoneReports('zone-0', 30_000);
      return cpuOf(() => {
        reports.observe([], view, 0);
      });
    }),
    await measureSlope('plan a wave over all VMs', unit, VM_SIZES, 3, (vms) => {
      const { view } = createLoadedStore({ vms });
      const options = { id: 'w', reserve: 1, stopMs: 600_000, maxWaveVms: 256 };
      return cpuOf(() => void planWave(view, options));
    }),
  ];
}

/** Creates the membership of a zone as seen by one of its seven members. */
function createFixedMembership(): Membership {
  const members = designMembers(MEMBERS_PER_ZONE, 1);
  const [self] = members;
  if (!self) throw new RangeError('a zone has at least one member');
  const names = members.map(({ name }) => name);
  return {
    self,
    members: () => [],
    member: () => undefined,
    liveMembers: () => members,
    ownerOf: (_zone, vm) => rendezvousOwner(names, vm),
  };
}
