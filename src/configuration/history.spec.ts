import test from 'ava';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import type { Table } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { FakePlatform, createVirtualClock } from '../testing/index.js';
import { changeSetOf, sampleFleet } from '../testing/sampleFleet.js';
import {
  ConfigErrorCode,
  EntityKind,
  VmState,
  configurationDefaults,
  createConfigHistory,
  snapshotPrefix,
  type ChangeSet,
} from './index.js';

type Wrap = (table: Table) => Table;

const unchanged: Wrap = (table) => table;

function setUp(wrap: Wrap = unchanged, overrides: Partial<typeof configurationDefaults> = {}) {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  const createProcess = () => {
    const client = platform.client({ down: false, loseAnswers: 0, delayMs: 0 });
    const history = createConfigHistory(wrap(client.table), {
      ...configurationDefaults,
      ...overrides,
      clock,
      random: createRandom(1),
      logger: silentLogger,
      metrics: new Metrics(),
    });
    return { history, faults: client.faults };
  };
  /** Waits for a call while virtual time passes. */
  async function settle<T>(call: Promise<T>): Promise<T> {
    const [value] = await Promise.all([call, clock.advance(60_000)]);
    return value;
  }
  return { clock, platform, createProcess, settle };
}

function change(changeId: string, author = 'ann', state = VmState.Failed): ChangeSet {
  const value = { id: 'p0-v0', state };
  return { changeId, author, changes: [{ kind: EntityKind.VmStatus, id: 'p0-v0', value }] };
}

/** A table that ignores all conditions. */
const unconditional: Wrap = (table) => ({
  ...table,
  transact: (_conditions, writes) => table.transact([], writes),
});

/** A table on which change ids can't be read back. */
const hidingChangeRows: Wrap = (table) => ({
  ...table,
  get: async (key) => {
    const row = await table.get(key);
    return key.startsWith('config/change/') ? row.map(() => undefined) : row;
  },
});

interface Scenario {
  title: string;
  /** Wrong variant of the table for which the scenario must fail. */
  brokenBy: Wrap;
  /** Returns what was seen, compared with `expected`. */
  run: (wrap: Wrap) => Promise<unknown>;
  expected: unknown;
}

const scenarios: Scenario[] = [
  {
    title: 'of two operators at once, the second learns who won',
    brokenBy: unconditional,
    run: async (wrap) => {
      const { createProcess, settle } = setUp(wrap);
      const [ann, bob] = [createProcess(), createProcess()];
      const results = await settle(
        Promise.all([
          ann.history.commit(0, change('c1', 'ann')),
          bob.history.commit(0, change('c2', 'bob')),
        ]),
      );
      return results.map((result) =>
        result.isOk ? result.value.version : [result.error.code, result.error.winner],
      );
    },
    expected: [1, [ConfigErrorCode.Conflict, { version: 1, author: 'ann' }]],
  },
  {
    title: 'a lost answer is resolved by the change id',
    brokenBy: hidingChangeRows,
    run: async (wrap) => {
      const { clock, createProcess, settle } = setUp(wrap);
      const { history, faults } = createProcess();
      faults.delayMs = 10;
      const commit = history.commit(0, change('c1'));
      // The head has been read; the answer of the transaction is lost.
      await clock.advance(15);
      faults.loseAnswers = 1;
      const result = await settle(commit);
      const head = await settle(history.head());
      return [result.unwrapOr(undefined), head.map(({ version }) => version).unwrapOr(-1)];
    },
    expected: [{ version: 1, alreadyApplied: false }, 1],
  },
  {
    title: 'the same change id is applied once',
    brokenBy: (table) => unconditional(hidingChangeRows(table)),
    run: async (wrap) => {
      const { createProcess, settle } = setUp(wrap);
      const { history } = createProcess();
      await settle(history.commit(0, change('c1')));
      const repeated = await settle(history.commit(0, change('c1')));
      const rebased = await settle(history.commit(1, change('c1')));
      const reused = await settle(history.commit(1, change('c1', 'ann', VmState.Up)));
      return [
        repeated.unwrapOr(undefined),
        rebased.unwrapOr(undefined),
        reused.isErr && reused.error.code,
      ];
    },
    expected: [
      { version: 1, alreadyApplied: true },
      { version: 1, alreadyApplied: true },
      ConfigErrorCode.Invalid,
    ],
  },
  {
    title: 'a writer that was paused cannot overwrite what was committed meanwhile',
    brokenBy: unconditional,
    run: async (wrap) => {
      const { clock, createProcess, settle } = setUp((table) => wrap(table));
      const [paused, other] = [createProcess(), createProcess()];
      paused.faults.delayMs = 5_000;
      const late = paused.history.commit(0, change('late', 'ann'));
      // The paused writer has read the head and is about to send its transaction.
      await clock.advance(5_001);
      await other.history.commit(0, change('c1', 'bob'));
      await other.history.commit(1, change('c2', 'bob'));
      const result = await settle(late);
      return result.isErr && [result.error.code, result.error.winner];
    },
    expected: [ConfigErrorCode.Conflict, { version: 2, author: 'bob' }],
  },
  {
    title: 'a lease condition that no longer holds stops the commit',
    brokenBy: unconditional,
    run: async (wrap) => {
      const { platform, createProcess, settle } = setUp(wrap);
      const { history } = createProcess();
      await platform.client().table.transact([], [{ key: 'lease/zone/z0', value: 1 }]);
      const lease = { key: 'lease/zone/z0', version: 7 };
      const result = await settle(history.commit(0, change('c1'), [lease]));
      return result.isErr && result.error.code;
    },
    expected: ConfigErrorCode.ConditionFailed,
  },
  {
    title: 'nothing is reported as applied while the platform is down',
    brokenBy: (table) => ({
      ...table,
      get: () => platformUp.table.get('config/head'),
      transact: () => platformUp.table.transact([], []),
    }),
    run: async (wrap) => {
      const { createProcess, settle } = setUp(wrap);
      const { history, faults } = createProcess();
      faults.down = true;
      const result = await settle(history.commit(0, change('c1')));
      return result.isErr && result.error.code;
    },
    expected: ConfigErrorCode.PlatformUnavailable,
  },
  {
    title: 'an outcome that cannot be read back is reported as unknown',
    brokenBy: (table) => ({
      ...table,
      transact: async (conditions, writes) => {
        await table.transact(conditions, writes);
        return platformUp.table.transact([], []);
      },
    }),
    run: async (wrap) => {
      const { clock, createProcess, settle } = setUp(wrap);
      const { history, faults } = createProcess();
      faults.delayMs = 10;
      const commit = history.commit(0, change('c1'));
      await clock.advance(15);
      faults.loseAnswers = 100;
      const result = await settle(commit);
      return result.isErr && result.error.code;
    },
    expected: ConfigErrorCode.OutcomeUnknown,
  },
];

const platformUp = new FakePlatform(createVirtualClock()).client();

// Each scenario guards against a change that is lost, applied twice or misreported.
for (const { title, brokenBy, run, expected } of scenarios) {
  test(`history: ${title}`, async (t) => {
    t.deepEqual(await run(unchanged), expected);
    t.notDeepEqual(await run(brokenBy), expected);
  });
}

// Guards against a starting process that reads a configuration other than the committed one.
test('a load gives the committed entities, with and without snapshots', async (t) => {
  const { platform, createProcess, settle } = setUp(unchanged, {
    snapshotInterval: 3,
    pageSize: 2,
  });
  const { history } = createProcess();
  const fleet = sampleFleet({ zones: 3, services: 2, vmsPerPool: 1_500 });
  await settle(history.commit(0, changeSetOf(fleet, 'fleet')));
  for (let base = 1; base < 8; base++) {
    const state = base % 2 ? VmState.Failed : VmState.Up;
    await settle(history.commit(base, change(`c${base}`, 'ann', state)));
    await settle(history.waitForSnapshots());
  }
  t.true([...platform.rows.keys()].includes(`${snapshotPrefix(6)}0001`));
  const loaded = (await settle(createProcess().history.load())).unwrapOr(undefined);
  t.is(loaded?.version, 8);
  t.deepEqual(loaded?.entities.vm, fleet.entities.vm);
  t.deepEqual(loaded?.entities.vmStatus, [{ id: 'p0-v0', state: VmState.Failed }]);
  t.is((await settle(history.head())).map((head) => head.snapshotVersion).unwrapOr(0), 6);
});

/** Versions of the snapshots that have rows, and whether a load gives the newest version. */
async function keptSnapshots(wrap: Wrap): Promise<{ versions: number[]; loaded: number }> {
  const { platform, createProcess, settle } = setUp(wrap, { snapshotInterval: 3 });
  const { history } = createProcess();
  const fleet = sampleFleet({ zones: 3, services: 2, vmsPerPool: 1_500 });
  await settle(history.commit(0, changeSetOf(fleet, 'fleet')));
  for (let base = 1; base < 16; base++) {
    const state = base % 2 ? VmState.Failed : VmState.Up;
    await settle(history.commit(base, change(`c${base}`, 'ann', state)));
    await settle(history.waitForSnapshots());
  }
  const prefix = 'config/snapshot/';
  const keys = [...platform.rows.keys()].filter((key) => key.startsWith(prefix));
  const versions = keys.map((key) => Number(key.slice(prefix.length).split('/')[0]));
  const loaded = await settle(createProcess().history.load());
  return { versions, loaded: loaded.map(({ version }) => version).unwrapOr(0) };
}

// Guards against snapshots that pile up in the platform, and against the deletion of one in use.
test('only the newest snapshot and the one before it are kept, with all their rows', async (t) => {
  t.deepEqual(await keptSnapshots(unchanged), { versions: [12, 12, 15, 15], loaded: 16 });
  const ignoringDeletions: Wrap = (table) => ({
    ...table,
    transact: (conditions, writes) => {
      const kept = writes.filter(
        ({ key, value }) => value !== undefined || !key.startsWith('config/snapshot/'),
      );
      return table.transact(conditions, kept);
    },
  });
  t.not((await keptSnapshots(ignoringDeletions)).versions.length, 4);
});

// Guards against adopting rows that were damaged or lost.
test('a load fails when a version row is missing or changed', async (t) => {
  const { platform, createProcess, settle } = setUp();
  const { history } = createProcess();
  await settle(history.commit(0, change('c1')));
  await settle(history.commit(1, change('c2')));
  const key = 'config/version/000000000001';
  const row = platform.rows.get(key);
  platform.rows.delete(key);
  t.true((await settle(history.load())).isErr);
  if (row) platform.rows.set(key, { ...row, value: { ...change('forged'), version: 1 } });
  t.true((await settle(history.load())).isErr);
  if (row) platform.rows.set(key, row);
  t.true((await settle(history.load())).isOk);
});
