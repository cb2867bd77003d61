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
  mutate: (entities: ConfigSnapshot['entities']) => void;
  expected: ConfigProblemCode[];
}

type Entities = ConfigSnapshot['entities'];

function itemAt<T>(items: T[], index = 0): T {
  return items[index] as T;
}

const cases: Case[] = [
  { title: 'a sound fleet', mutate: () => undefined, expected: [] },
  {
    title: 'a service names an unknown pool',
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
    title: 'a pool needs more VMs than it has',
    mutate: (e) => (itemAt(e.pool).minAvailable = 7),
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'a service needs more slots than its pool has',
    mutate: (e) => (itemAt(e.service).minAvailableSlots = 49),
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'the pool of a service has no executors',
    mutate: (e) => {
      for (const vm of e.vm) if (vm.pool === 'p0') delete vm.executor;
    },
    expected: [ConfigProblemCode.ServiceWithoutVms],
  },
  {
    title: 'two services name one pool',
    mutate: (e) => (itemAt(e.service, 1).pool = 'p0'),
    expected: [ConfigProblemCode.PoolServesTwoServices],
  },
  {
    title: 'a VM names an unknown pool',
    mutate: (e) => (itemAt(e.vm).pool = 'nowhere'),
    expected: [ConfigProblemCode.UnknownPool],
  },
  {
    title: 'a status is about an unknown VM',
    mutate: (e) => e.vmStatus.push({ id: 'gone', state: VmState.Failed }),
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'a stop belongs to an unknown wave',
    mutate: (e) => e.stop.push({ id: 'p0-v0', wave: 'w', state: StopState.Granted }),
    expected: [ConfigProblemCode.UnknownWave],
  },
  {
    title: 'a move leads nowhere new',
    mutate: (e) => e.move.push({ id: 'p0-v0', from: 'p0', to: 'p0', state: MoveState.Requested }),
    expected: [ConfigProblemCode.MoveToSamePool],
  },
  {
    title: 'an entity does not match its schema',
    mutate: (e) => (itemAt(e.pool).maxAway = -1),
    expected: [ConfigProblemCode.InvalidEntity],
  },
];

/** Titles of the cases whose problems a check does not report as expected. */
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

// Guards against a configuration that no process could put in force being accepted.
test('each broken rule or reference is reported', (t) => {
  t.deepEqual(mismatchedCases(checkConfiguration), []);
});

test('the table of cases fails for a check that reports nothing', (t) => {
  t.is(mismatchedCases(() => []).length, cases.length - 1);
});

interface ChangeCase {
  title: string;
  prepare?: (entities: Entities) => void;
  changes: EntityChange[];
  expected: ConfigProblemCode[];
}

const wave = { id: 'w', state: WaveState.Planned, batches: [['p0-v0', 'gone']], done: [] };

const changeCases: ChangeCase[] = [
  {
    title: 'deleting the only pool of a service',
    changes: [{ kind: EntityKind.Pool, id: 'p0' }],
    expected: [
      ConfigProblemCode.UnknownPool,
      ...Array<ConfigProblemCode>(6).fill(ConfigProblemCode.UnknownPool),
    ],
  },
  {
    title: 'an unrelated problem does not block a change',
    prepare: (e) => (itemAt(e.pool).minAvailable = 7),
    changes: [
      { kind: EntityKind.VmStatus, id: 'p0-v0', value: { id: 'p0-v0', state: VmState.Failed } },
    ],
    expected: [],
  },
  {
    title: 'an unrelated problem that grows blocks a change',
    prepare: (e) => (itemAt(e.pool).minAvailable = 7),
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [ConfigProblemCode.UnsatisfiableRule],
  },
  {
    title: 'one VM assigned to two pools',
    changes: ['p0', 'p1'].map((pool) => ({
      kind: EntityKind.Assignment,
      id: 'p0-v0',
      value: { id: 'p0-v0', pool },
    })),
    expected: [ConfigProblemCode.VmInTwoPools],
  },
  {
    title: 'the ids of change and entity differ',
    changes: [{ kind: EntityKind.VmStatus, id: 'a', value: { id: 'b', state: VmState.Up } }],
    expected: [ConfigProblemCode.IdMismatch],
  },
  {
    title: 'a wave is planned with an unknown VM',
    changes: [{ kind: EntityKind.Wave, id: 'w', value: wave }],
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'a deleted VM takes its assignment and status along',
    prepare: (e) => {
      e.assignment.push({ id: 'p0-v0', pool: 'p1' });
      e.vmStatus.push({ id: 'p0-v0', state: VmState.Failed });
    },
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [],
  },
  {
    title: 'a VM that is being stopped is deleted',
    prepare: (e) => {
      e.wave.push({ ...wave, state: WaveState.Running });
      e.stop.push({ id: 'p0-v0', wave: 'w', state: StopState.Draining });
    },
    changes: [{ kind: EntityKind.Vm, id: 'p0-v0' }],
    expected: [ConfigProblemCode.UnknownVm],
  },
  {
    title: 'more changes than a transaction holds',
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
