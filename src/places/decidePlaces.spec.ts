import test from 'ava';
import { decidePlaces } from './decidePlaces.js';
import {
  PlaceAction,
  PlaceReason,
  type RackSnapshot,
  type WaitingStepSnapshot,
  type WorkerSnapshot,
} from './types.js';

const CORE = { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 };

/** A rack of workers of 4 cores; each list has the times at which its busy cores are released. */
function rack(name: string, ...busyCores: number[][]): RackSnapshot {
  const workers = busyCores.map((releases, index): WorkerSnapshot => {
    const size = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
    const used = { cpuMillis: releases.length * 1_000, memoryMb: releases.length * 100 };
    return {
      id: `${name}/${index}`,
      capacity: size,
      free: {
        cpuMillis: size.cpuMillis - used.cpuMillis,
        memoryMb: size.memoryMb - used.memoryMb,
        accelerators: 0,
      },
      runs: releases.map((endsInMs) => ({ needs: CORE, endsInMs })),
    };
  });
  return { name, workers };
}

const full = (...releases: number[]) =>
  [...releases, ...new Array<number>(4).fill(9_000)].slice(0, 4);

type Snapshot = WaitingStepSnapshot<string>;

function step(key: string, fields: Partial<Snapshot> = {}): Snapshot {
  return {
    key,
    needs: CORE,
    tasks: 1,
    runMs: 1_000,
    slackMs: 5_000,
    readyAgeMs: 0,
    nearRack: 'r1-1',
    isGroup: false,
    runningRacks: [],
    roomOn: () => Infinity,
    ...fields,
  };
}

interface Case {
  title: string;
  steps: Snapshot[];
  racks: RackSnapshot[];
  /** Twice as slow elsewhere if undefined. */
  slowdown?: number;
  /** Decisions by step: `action reason tasks@rack wait`. */
  expected: Record<string, string[]>;
}

const HERE = `${PlaceAction.StartHere} ${PlaceReason.RackFree}`;
const WAIT = `${PlaceAction.Wait} ${PlaceReason.FreedSoon}`;
const ELSEWHERE = PlaceAction.StartElsewhere;
const idle = rack('r1-2', []);
const group = { isGroup: true, nearRack: undefined };

const cases: Case[] = [
  {
    title: 'near rack with capacity: start there',
    steps: [step('a')],
    racks: [rack('r1-1', full(300).slice(1)), idle],
    expected: { a: [`${HERE} 1@r1-1 0`] },
  },
  {
    title: 'near rack full and freed soon: wait for it',
    steps: [step('a')],
    racks: [rack('r1-1', full(300)), idle],
    expected: { a: [`${WAIT} 1@r1-1 300`] },
  },
  {
    // Guards against a wait that takes longer than the task loses elsewhere.
    title: 'near rack freed after the wait has cost more than it gains: start elsewhere',
    steps: [step('a')],
    racks: [rack('r1-1', full(1_100)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.FreedLate} 1@ 0`] },
  },
  {
    // Guards against waits of more than 2 s, which long tasks would gain from.
    title: 'near rack freed after the longest wait: start elsewhere, also for a long task',
    steps: [step('a', { runMs: 20_000, slackMs: 60_000 })],
    racks: [rack('r1-1', full(2_100)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.NeverFreed} 1@ 0`] },
  },
  {
    // Guards against waits for a rack that is full of long-running tasks.
    title: 'near rack on which no run ends: start elsewhere',
    steps: [step('a')],
    racks: [rack('r1-1', new Array<number>(4).fill(Infinity)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.NeverFreed} 1@ 0`] },
  },
  {
    // Guards against waits for a rack that died, drains, or is set aside: none of its workers is listed.
    title: 'near rack without workers that take runs: start elsewhere',
    steps: [step('a')],
    racks: [idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.RackGone} 1@ 0`] },
  },
  {
    title: 'near rack whose workers the step may not have: start elsewhere',
    steps: [step('a', { roomOn: (id) => (id.startsWith('r1-1') ? 0 : Infinity) })],
    racks: [rack('r1-1', full(100)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.RackGone} 1@ 0`] },
  },
  {
    title: 'a task larger than any worker of the near rack: start elsewhere',
    steps: [step('a', { needs: { ...CORE, cpuMillis: 5_000 } })],
    racks: [rack('r1-1', []), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.RackGone} 1@ 0`] },
  },
  {
    // Guards against waits that make a job late.
    title: 'a job with less slack than the wait: start elsewhere',
    steps: [step('a', { slackMs: 200 })],
    racks: [rack('r1-1', full(300)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.NoSlack} 1@ 0`] },
  },
  {
    // Guards against waits of jobs that are late already.
    title: 'a late job: start elsewhere',
    steps: [step('a', { slackMs: -1 })],
    racks: [rack('r1-1', full(10)), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.JobLate} 1@ 0`] },
  },
  {
    title: 'a late job starts on its rack if that has capacity',
    steps: [step('a', { slackMs: -1 })],
    racks: [rack('r1-1', []), idle],
    expected: { a: [`${HERE} 1@r1-1 0`] },
  },
  {
    // Guards against a second full wait, for example after a takeover or when runs overrun.
    title: 'the time since the step became ready counts as waited',
    steps: [step('a', { readyAgeMs: 800 }), step('b', { readyAgeMs: 1_200 })],
    racks: [rack('r1-1', full(300)), idle],
    expected: {
      a: [`${ELSEWHERE} ${PlaceReason.FreedLate} 1@ 0`],
      b: [`${ELSEWHERE} ${PlaceReason.WaitUsedUp} 1@ 0`],
    },
  },
  {
    title: 'some tasks of a step start on the rack, some wait, the rest start elsewhere',
    steps: [step('a', { tasks: 6, slackMs: 600 })],
    racks: [rack('r1-1', [300, 500, 700]), idle],
    expected: {
      a: [`${HERE} 1@r1-1 0`, `${WAIT} 2@r1-1 500`, `${ELSEWHERE} ${PlaceReason.NoSlack} 3@ 0`],
    },
  },
  {
    // Guards against all tasks waiting for the same release.
    title: 'a rack that many want: those that lose least start elsewhere at once',
    steps: [
      step('short', { runMs: 400 }),
      step('long', { runMs: 1_800 }),
      step('middle', { runMs: 900 }),
    ],
    racks: [rack('r1-1', full(350, 600)), idle],
    expected: {
      long: [`${WAIT} 1@r1-1 350`],
      middle: [`${WAIT} 1@r1-1 600`],
      short: [`${ELSEWHERE} ${PlaceReason.FreedLate} 1@ 0`],
    },
  },
  {
    // Guards against capacity that stands idle while a job that could use it takes the place of one
    // that is in time only on its rack.
    title: 'idle capacity goes to the job that is in time with it, the rack to the one that is not',
    steps: [
      step('anywhere', { runMs: 1_400, slackMs: 4_000 }),
      step('only here', { runMs: 1_000, slackMs: 600 }),
    ],
    racks: [rack('r1-1', full(500)), idle],
    expected: {
      'only here': [`${WAIT} 1@r1-1 500`],
      anywhere: [`${ELSEWHERE} ${PlaceReason.FreedLate} 1@ 0`],
    },
  },
  {
    // Guards against tasks that start elsewhere and take the capacity of those that belong there,
    // which makes all tasks of an overloaded pool run longer.
    title: 'a rack freed too late: wait while capacity is scarce, but not for a late job',
    steps: [step('a'), step('late', { slackMs: -1 })],
    racks: [rack('r1-1', full(1_100)), rack('r1-2', full())],
    expected: {
      a: [`${PlaceAction.Wait} ${PlaceReason.CapacityScarce} 1@r1-1 1000`],
      late: [`${ELSEWHERE} ${PlaceReason.JobLate} 1@ 0`],
    },
  },
  {
    // Guards against rounds that take long, and against idle racks of which only a part is used.
    title:
      'the number of tasks that wait for a rack is limited, but not the number that start there',
    steps: [step('a', { tasks: 300 })],
    racks: [rack('r1-1', ...Array.from({ length: 50 }, () => [500])), idle],
    slowdown: 3,
    expected: {
      a: [
        `${HERE} 150@r1-1 0`,
        `${WAIT} 64@r1-1 1000`,
        `${ELSEWHERE} ${PlaceReason.FreedLate} 86@ 0`,
      ],
    },
  },
  {
    // Guards against jobs that would be in time elsewhere and are late after the wait.
    title: 'while capacity is scarce, a job waits only as long as it remains in time elsewhere',
    steps: [step('some', { slackMs: 1_400 }), step('none', { slackMs: 1_050 })],
    racks: [rack('r1-1', full(1_100)), rack('r1-2', full())],
    expected: {
      some: [`${PlaceAction.Wait} ${PlaceReason.CapacityScarce} 1@r1-1 300`],
      none: [`${ELSEWHERE} ${PlaceReason.FreedLate} 1@ 0`],
    },
  },
  {
    title: 'a higher slowdown makes a longer wait worthwhile',
    steps: [step('a')],
    racks: [rack('r1-1', full(1_100)), idle],
    slowdown: 3,
    expected: { a: [`${WAIT} 1@r1-1 1100`] },
  },
  {
    // Guards against a group that follows its first task to a rack that cannot hold the rest.
    title: 'a colocated step starts on the rack that can hold all of it',
    steps: [step('a', { ...group, tasks: 3 })],
    racks: [rack('r1-1', [9_000, 9_000]), idle],
    expected: { a: [`${HERE} 3@r1-2 0`] },
  },
  {
    title: 'a colocated step waits for the rack that can hold all of it soonest',
    steps: [step('a', { ...group, tasks: 4 })],
    racks: [rack('r1-1', [400, 500]), rack('r1-2', [300, 350]), rack('r1-3', [900])],
    expected: { a: [`${WAIT} 4@r1-2 350`] },
  },
  {
    // Guards against waits for a rack that is too small for the step.
    title: 'a colocated step that no rack can ever hold starts on any',
    steps: [step('a', { ...group, tasks: 5 })],
    racks: [rack('r1-1', [100]), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.NoRackFits} 5@ 0`] },
  },
  {
    title: 'the rest of a colocated step follows the tasks that run',
    steps: [step('a', { ...group, tasks: 2, runningRacks: ['r1-1'] })],
    racks: [rack('r1-1', full(200, 300)), idle],
    expected: { a: [`${WAIT} 2@r1-1 300`] },
  },
  {
    // Guards against waits that no longer gain anything.
    title: 'the rest of a colocated step that runs on several racks starts on any',
    steps: [step('a', { ...group, runningRacks: ['r1-1', 'r1-2'] })],
    racks: [rack('r1-1', []), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.AlreadySpread} 1@ 0`] },
  },
  {
    title: 'the rest of a colocated step does not wait for a rack that is gone',
    steps: [step('a', { ...group, runningRacks: ['r1-9'] })],
    racks: [rack('r1-1', []), idle],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.RackGone} 1@ 0`] },
  },
  {
    title: 'a colocated step prefers the rack of its data, also if it has to wait',
    steps: [step('a', { isGroup: true, tasks: 4 })],
    racks: [rack('r1-1', full(100, 100, 100, 400)), idle],
    expected: { a: [`${WAIT} 4@r1-1 400`] },
  },
  {
    // Guards against a wait for a rack that gains nothing over a start at once.
    title: 'a colocated step waits for no rack without its data',
    steps: [step('a', { isGroup: true, tasks: 4 })],
    racks: [rack('r1-1', full()), rack('r1-2', [100])],
    expected: { a: [`${ELSEWHERE} ${PlaceReason.FreedLate} 4@ 0`] },
  },
  {
    title: 'maxPerWorker limits what a rack can hold of a group',
    steps: [step('a', { ...group, tasks: 2, roomOn: () => 1 })],
    racks: [rack('r1-1', []), rack('r1-2', [9_000], [9_000])],
    expected: { a: [`${HERE} 2@r1-2 0`] },
  },
];

for (const { title, steps, racks, slowdown = 2, expected } of cases) {
  test(title, (t) => {
    const decided = decidePlaces(steps, racks, { slowdown });
    const found = [...decided].map(([key, decisions]) => [
      key,
      decisions.map(
        ({ action, reason, tasks, rack: name = '', waitMs }) =>
          `${action} ${reason} ${tasks}@${name} ${waitMs}`,
      ),
    ]);
    t.deepEqual(Object.fromEntries(found), expected);
  });
}
