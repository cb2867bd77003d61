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
  /** Waits for a call while virtual time advances. */
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

/** A table on which the rows of change ids cannot be read. */
const hidingChangeRows: Wrap = (table) => ({
  ...table,
  get: async (key) => {
    const row = await table.get(key);
    return key.startsWith('config/change/') ? row.map(() => undefined) : row;
  },
});

interface Scenario {
  title: string;
  /** Faulty table wrapper with which the scenario must fail. */
  brokenBy: Wrap;
  /** Returns the observed result, which is compared with `expected`. */
  run: (wrap: Wrap) => Promise<unknown>;
  expected: unknown;
}

const scenarios: Scenario[] = [
  {
    title:
      'of two concurrent commits, the second gets a conflict with the version and author of the first',
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
    title: 'a commit whose response is lost is resolved by its change id',
    brokenBy: hidingChangeRows,
    run: async (wrap) => {
      const { clock, createProcess, settle } = setUp(wrap);
      const { history, faults } = createProcess();
      faults.delayMs = 10;
      const commit = history.commit(0, change('c1'));
      // The head has been read; the response to the transaction is lost.
      await clock.advance(15);
      faults.loseAnswers = 1;
      const result = await settle(commit);
      const head = await settle(history.head());
      return [result.unwrapOr(undefined), head.map(({ version }) => version).unwrapOr(-1)];
    },
    expected: [{ version: 1, alreadyApplied: false }, 1],
  },
  {
    title: 'a change id is applied once and rejected for a different change',
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
    title: 'a paused writer cannot overwrite versions that were committed during the pause',
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
    title: 'a commit fails if a lease condition is not met',
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
    title: 'a commit while the platform is down fails as unavailable',
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
    title: 'a commit whose outcome cannot be read back fails as unknown',
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

// Each scenario guards against a change that is lost, applied twice or reported wrongly.
for (const { title, brokenBy, run, expected } of scenarios) {
  test(`history: ${title}`, async (t) => {
    t.deepEqual(await run(unchanged), expected);
    t.notDeepEqual(await run(brokenBy), expected);
  });
}

// Guards against a starting process that loads a configuration other than the committed one.
test('a load returns the committed entities from a snapshot in parts and later deltas', async (t) => {
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

/**
 * Versions of the snapshots that have rows, one entry per row, and the version that a load returns.
 */
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

// Guards against snapshots that accumulate in the platform and against deleting one in use.
test('only the latest snapshot and the previous one are kept, with all their rows', async (t) => {
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

// Guards against loading a configuration from damaged or missing rows.
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
