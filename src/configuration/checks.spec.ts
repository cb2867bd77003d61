import test from 'ava';
import { sampleFleet } from '../testing/sampleFleet.js';
import {
  ConfigProblemCode,
  EntityKind,
  EntityState,
  MAX_CHANGES,
  StopState,
  MoveState,
  VmState,
  WaveState,
  checkChangeSet,
  checkConfiguration,
  type ConfigSnapshot,
  type EntityChange,
} from './index.js';

interface Case {
  title: string;
  /** Introduces the problem into a valid fleet. */
  mutate: (entities: ConfigSnapshot['entities']) => void;
  expected: ConfigProblemCode[];
}

type Entities = ConfigSnapshot['entities'];

function itemAt<T>(items: T[], index = 0): T {
  return items[index] as T;
}

const cases: Case[] = [
  { title: 'a valid fleet', mutate: () => undefined, expected: [] },
  {
    title: 'a service refers to an unknown pool',
    mutate: (e) => (itemAt(e.service).pool = 'nowhere'),
    expected: [ConfigProblemCode.UnknownPool],
  },
  {
    title: 'a VM is listed in two pools',
    mutate: (e) => e.vm.push({ ...itemAt(e.vm), pool: 'p1' }),
    expected: [ConfigProblemCode.VmInTwoPools],
  },
  {
    title: 'a VM is assigned to two pools',
    mutate: (e) => e.assignment.push({ id: 'p0-v0', pool: 'p0' }, { id: 'p0-v0', pool: 'p1' }),
    expected: [ConfigProblemCode.VmInTwoPools],
  },
  {
    title: 'a team is listed twice',
    mutate: (e) => {
      const team = { id: 't', weight: 1, maxQueued: 1, maxRunning: 1, maxUrgent: 1, maxJobs: 1 };
      e.team.push(team, { ...team });
    },
    expected: [ConfigProblemCode.DuplicateId],
  },
  {
    title: 'two VMs share an executor address',
    mutate: (e) => (itemAt(e.vm, 1).executor = itemAt(e.vm).executor),
    expected: [ConfigProblemCode.DuplicateExecutor],
  },
  {
    title: 'a pool requires more available VMs than it has',
    mutate: (e) => (itemAt(e.pool).minAvailable = 7),
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'a service requires more available slots than its pool has',
    mutate: (e) => (itemAt(e.service).minAvailableSlots = 49),
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'the pool of a service has no VM with an executor',
    mutate: (e) => {
      for (const vm of e.vm) if (vm.pool === 'p0') delete vm.executor;
    },
    expected: [ConfigProblemCode.ServiceWithoutVms],
  },
  {
    title: 'two services refer to the same pool',
    mutate: (e) => (itemAt(e.service, 1).pool = 'p0'),
    expected: [ConfigProblemCode.PoolServesTwoServices],
  },
  {
    title: 'a VM refers to an unknown pool',
    mutate: (e) => (itemAt(e.vm).pool = 'nowhere'),
    expected: [ConfigProblemCode.UnknownPool],
  },
  {
    title: 'a VM status refers to an unknown VM',
    mutate: (e) => e.vmStatus.push({ id: 'gone', state: VmState.Failed }),
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'a stop refers to an unknown wave',
    mutate: (e) => e.stop.push({ id: 'p0-v0', wave: 'w', state: StopState.Granted }),
    expected: [ConfigProblemCode.UnknownWave],
  },
  {
    title: 'source and target pool of a move are the same',
    mutate: (e) => e.move.push({ id: 'p0-v0', from: 'p0', to: 'p0', state: MoveState.Requested }),
    expected: [ConfigProblemCode.MoveToSamePool],
  },
  {
    title: 'an entity does not match its schema',
    mutate: (e) => (itemAt(e.pool).maxAway = -1),
    expected: [ConfigProblemCode.InvalidEntity],
  },
];

/** Titles of the cases for which a check does not report exactly the expected problems. */
function mismatchedCases(
  check: (snapshot: ConfigSnapshot) => { code: ConfigProblemCode }[],
): string[] {
  return cases
    .filter(({ mutate, expected }) => {
      const snapshot = sampleFleet();
      mutate(snapshot.entities);
      const found = check(snapshot).map(({ code }) => code);
      return found.join() !== expected.join();
    })
    .map(({ title }) => title);
}

// Guards against accepting a configuration that no process could put into force.
test('each violated rule or reference is reported', (t) => {
  t.deepEqual(mismatchedCases(checkConfiguration), []);
});

test('each case with an expected problem fails for a check that reports nothing', (t) => {
  t.is(mismatchedCases(() => []).length, cases.length - 1);
});

interface ChangeCase {
  title: string;
  /** Changes the valid fleet to which the change set is applied. */
  prepare?: (entities: Entities) => void;
  changes: EntityChange[];
  expected: ConfigProblemCode[];
}

const wave = { id: 'w', state: WaveState.Planned, batches: [['p0-v0', 'gone']], done: [] };

const changeCases: ChangeCase[] = [
  {
    title: 'deleting the pool of a service is reported for the service and each VM of the pool',
    changes: [{ kind: EntityKind.Pool, id: 'p0' }],
    expected: [
      ConfigProblemCode.UnknownPool,
      ...Array<ConfigProblemCode>(6).fill(ConfigProblemCode.UnknownPool),
    ],
  },
  {
    title: 'an existing problem that the change does not alter is not reported',
    prepare: (e) => (itemAt(e.pool).minAvailable = 7),
    changes: [
      { kind: EntityKind.VmStatus, id: 'p0-v0', value: { id: 'p0-v0', state: VmState.Failed } },
    ],
    expected: [],
  },
  {
    title: 'an existing problem that the change makes worse is reported',
    prepare: (e) => (itemAt(e.pool).minAvailable = 7),
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'assigning one VM to two pools is reported',
    changes: ['p0', 'p1'].map((pool) => ({
      kind: EntityKind.Assignment,
      id: 'p0-v0',
      value: { id: 'p0-v0', pool },
    })),
    expected: [ConfigProblemCode.VmInTwoPools],
  },
  {
    title: 'a change whose id differs from that of its entity is reported',
    changes: [{ kind: EntityKind.VmStatus, id: 'a', value: { id: 'b', state: VmState.Up } }],
    expected: [ConfigProblemCode.IdMismatch],
  },
  {
    title: 'planning a wave with an unknown VM is reported',
    changes: [{ kind: EntityKind.Wave, id: 'w', value: wave }],
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'deleting a VM with an assignment and a status is valid, as they are deleted with it',
    prepare: (e) => {
      e.assignment.push({ id: 'p0-v0', pool: 'p1' });
      e.vmStatus.push({ id: 'p0-v0', state: VmState.Failed });
    },
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [],
  },
  {
    title: 'deleting a VM that is being stopped is reported',
    prepare: (e) => {
      e.wave.push({ ...wave, state: WaveState.Running });
      e.stop.push({ id: 'p0-v0', wave: 'w', state: StopState.Draining });
    },
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'more than the maximum number of changes is reported',
    changes: Array.from({ length: MAX_CHANGES + 1 }, (_, index) => ({
      kind: EntityKind.Team,
      id: `t${index}`,
    })),
    expected: [ConfigProblemCode.TooManyChanges],
  },
];

for (const { title, prepare, changes, expected } of changeCases) {
  test(`change set: ${title}`, (t) => {
    const snapshot = sampleFleet();
    prepare?.(snapshot.entities);
    const view = new EntityState();
    view.reset(snapshot);
    const found = checkChangeSet(view, { changeId: 'c', author: 'a', changes });
    t.deepEqual(
      found.map(({ code }) => code),
      expected,
    );
  });
}
