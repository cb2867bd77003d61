import test, { type ExecutionContext } from 'ava';
import { Result } from 'true-myth';
import { request } from 'undici';
import {
  AdoptionSource,
  configurationDefaults,
  createCommitter,
  createConfigHistory,
  createConfigStore,
  EntityKind,
  VmState,
  type ChangeSet,
  type ConfigDelta,
  type EntityChange,
  type Vm,
} from '../configuration/index.js';
import { systemClock } from '../clock/index.js';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom } from '../random/index.js';
import { FakePlatform } from '../testing/index.js';
import { operatorsSchema, startOperatorListener, type OperatorDeps } from './index.js';

const TOKEN = 'token-of-the-test';

const vm = (id: string, pool: string): Vm => ({
  ...{ id, pool, zone: 'z', rack: 'r', cores: 1, memoryMib: 1, accelerators: 0 },
});

const pool = (id: string): EntityChange => ({
  kind: EntityKind.Pool,
  id,
  value: {
    ...{ id, minAvailable: 0, maxAway: 1, maxAwayPerRack: 1, maxAwayPerZone: 1 },
    ...{ isSpare: false, mayBorrow: false },
  },
});

const upsert = (value: Vm): EntityChange => ({ kind: EntityKind.Vm, id: value.id, value });

interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** One operator listener over the real history and store. */
class Bed {
  readonly platform = new FakePlatform(systemClock);
  readonly client = this.platform.client();
  readonly lifecycle = new Lifecycle('test');
  readonly metrics = new Metrics();
  readonly store = createConfigStore({
    ...configurationDefaults,
    events: createEventBus(),
    metrics: this.metrics,
  });
  readonly history = createConfigHistory(this.client.table, {
    ...configurationDefaults,
    clock: systemClock,
    random: createRandom(1),
    logger: silentLogger,
    metrics: this.metrics,
  });
  readonly commit = createCommitter(this.history, this.store);
  url = '';

  async start(): Promise<void> {
    const loaded = await this.history.load();
    if (loaded.isOk) this.store.adoptSnapshot(loaded.value, AdoptionSource.Platform);
    const self = { name: 'e', zone: 'z', host: '', port: 0, incarnation: 'i', startedAt: 0 };
    const deps: OperatorDeps = {
      self,
      clock: systemClock,
      logger: silentLogger,
      metrics: this.metrics,
      settings: operatorsSchema.parse({ maxBodyBytes: 4_096 }),
      token: TOKEN,
      view: this.store.view,
      membership: {
        self,
        members: () => [],
        member: () => undefined,
        liveMembers: () => [self],
        ownerOf: () => self.name,
      },
      readiness: () => ({
        ...{ ready: true, configAgeMs: 0, platformReachable: true, holdsZoneLease: false },
      }),
      snapshot: () => this.store.snapshot(),
      commit: this.commit,
      committedVersion: (changeId) => this.history.committedVersion(changeId),
      history: (limit) => this.history.deltasAfter(0, limit),
      planWaves: () => ({ waves: [], batches: 0, lowerBound: 0, expectedMs: 0 }),
      jobs: () => Promise.resolve(Result.ok([])),
    };
    const port = await startOperatorListener(deps, this.lifecycle);
    this.url = `http://127.0.0.1:${port}`;
  }

  async call(method: string, path: string, body?: unknown, token = TOKEN): Promise<Answer> {
    const res = await request(`${this.url}${path}`, {
      method: method as 'GET' | 'POST',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
    return { status: res.statusCode, body: (await res.body.json()) as Record<string, unknown> };
  }

  apply(changeId: string, base: number, changes: EntityChange[]): Promise<Answer> {
    return this.call('POST', '/v1/config/changes', { changeId, author: 'ana', base, changes });
  }

  /** Commits as a controller does. */
  async controllerCommits(changes: EntityChange[]): Promise<void> {
    const { version } = this.store.view;
    const changeSet: ChangeSet = {
      changeId: `controller-${version}`,
      author: 'controller',
      changes,
    };
    await this.commit(version, changeSet);
  }
}

async function withBed(run: (bed: Bed) => Promise<void>): Promise<void> {
  const bed = new Bed();
  await bed.start();
  try {
    await run(bed);
  } finally {
    await bed.lifecycle.close();
  }
}

interface ChangeCase {
  title: string;
  run: (t: ExecutionContext, bed: Bed) => Promise<void>;
}

const changeCases: ChangeCase[] = [
  {
    title: 'an operator who edited an outdated version gets a conflict that names the winner',
    run: async (t, bed) => {
      t.is((await bed.apply('first', 0, [pool('p')])).status, 200);
      const second = await bed.apply('second', 0, [pool('q')]);
      t.is(second.status, 409);
      t.like(second.body, { code: 'conflict', winner: { version: 1, author: 'ana' } });
      t.is(bed.store.view.get(EntityKind.Pool, 'q'), undefined);
    },
  },
  {
    title: 'versions committed by controllers in between are no conflict for an operator',
    run: async (t, bed) => {
      await bed.apply('first', 0, [pool('p'), upsert(vm('v', 'p'))]);
      const status = { id: 'v', state: VmState.Failed };
      await bed.controllerCommits([{ kind: EntityKind.VmStatus, id: 'v', value: status }]);
      const applied = await bed.apply('second', 1, [pool('q')]);
      t.is(applied.status, 200);
      t.is(applied.body.version, 3);
    },
  },
  {
    title: 'a change id that was committed before is in force already, whatever came since',
    run: async (t, bed) => {
      await bed.apply('first', 0, [pool('p')]);
      await bed.apply('second', 1, [pool('q')]);
      const again = await bed.apply('first', 0, [pool('p')]);
      t.like(again, { status: 200, body: { version: 1, alreadyApplied: true } });
      t.is(bed.store.view.version, 2);
    },
  },
  {
    title: 'a change whose answer the platform lost is applied once',
    run: async (t, bed) => {
      bed.client.faults.loseAnswers = 0;
      const transact = bed.client.table.transact.bind(bed.client.table);
      let isLost = false;
      bed.client.table.transact = async (conditions, writes) => {
        if (!isLost) bed.client.faults.loseAnswers = 1;
        isLost = true;
        return transact(conditions, writes);
      };
      const applied = await bed.apply('first', 0, [pool('p')]);
      t.like(applied, { status: 200, body: { version: 1 } });
      const history = await bed.call('GET', '/v1/config/history');
      t.is((history.body as unknown as ConfigDelta[]).length, 1);
    },
  },
  {
    title: 'a changed home pool becomes a requested move, and the VM stays in its pool until then',
    run: async (t, bed) => {
      await bed.apply('first', 0, [pool('p'), pool('q'), upsert(vm('v', 'p'))]);
      t.is((await bed.apply('second', 1, [upsert(vm('v', 'q'))])).status, 200);
      t.like(bed.store.view.get(EntityKind.Move, 'v'), { from: 'p', to: 'q', state: 'requested' });
      t.is(bed.store.view.poolOf('v'), 'p');
    },
  },
  {
    title: 'entities that belong to the system are refused',
    run: async (t, bed) => {
      const value = { id: 'v', pool: 'p' };
      const refused = await bed.apply('x', 0, [{ kind: EntityKind.Assignment, id: 'v', value }]);
      t.is(refused.status, 422);
      t.is(bed.store.view.version, 0);
    },
  },
  {
    title: 'a change is refused while the platform is down, and nothing is applied',
    run: async (t, bed) => {
      bed.client.faults.down = true;
      t.like(await bed.apply('x', 0, [pool('p')]), { status: 503 });
      t.is(bed.platform.rows.size, 0);
    },
  },
];

// Guards against lost, doubled or half-applied operator changes.
for (const { title, run } of changeCases) {
  test(title, (t) => withBed((bed) => run(t, bed)));
}

const inputCases = [
  { title: 'a wrong token', token: 'nope', path: '/v1/status', status: 401 },
  { title: 'an unknown route', path: '/v1/nothing', status: 404 },
  { title: 'a body that is not JSON', path: '/v1/config/changes', body: '{', status: 400 },
  { title: 'a body with a missing key', path: '/v1/config/changes', body: {}, status: 400 },
  {
    title: 'a body that is too large',
    path: '/v1/config/changes',
    body: 'x'.repeat(5_000),
    status: 400,
  },
  {
    title: 'a fault switch that the settings do not allow',
    path: '/v1/faults/cut',
    body: {},
    status: 404,
  },
];

// Guards against bad input that changes something or gets an untyped answer.
for (const { title, token, path, body, status } of inputCases) {
  test(`${title} is refused with status ${status}`, (t) =>
    withBed(async (bed) => {
      const answer = await bed.call(body === undefined ? 'GET' : 'POST', path, body, token);
      t.is(answer.status, status);
      t.is(typeof answer.body.code, 'string');
      t.is(typeof answer.body.message, 'string');
    }));
}
