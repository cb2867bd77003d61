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

interface TestResponse {
  status: number;
  body: Record<string, unknown>;
}

/** An operator listener with the real configuration history and store. */
class OperatorTestServer {
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

  async call(method: string, path: string, body?: unknown, token = TOKEN): Promise<TestResponse> {
    const res = await request(`${this.url}${path}`, {
      method: method as 'GET' | 'POST',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
    return { status: res.statusCode, body: (await res.body.json()) as Record<string, unknown> };
  }

  apply(changeId: string, base: number, changes: EntityChange[]): Promise<TestResponse> {
    return this.call('POST', '/v1/config/changes', { changeId, author: 'ana', base, changes });
  }

  /** Commits changes as a controller does, without the operator listener. */
  async commitAsController(changes: EntityChange[]): Promise<void> {
    const { version } = this.store.view;
    const changeSet: ChangeSet = {
      changeId: `controller-${version}`,
      author: 'controller',
      changes,
    };
    await this.commit(version, changeSet);
  }
}

async function withTestServer(run: (server: OperatorTestServer) => Promise<void>): Promise<void> {
  const server = new OperatorTestServer();
  await server.start();
  try {
    await run(server);
  } finally {
    await server.lifecycle.close();
  }
}

interface ChangeCase {
  title: string;
  run: (t: ExecutionContext, server: OperatorTestServer) => Promise<void>;
}

const changeCases: ChangeCase[] = [
  {
    title: 'a change against an outdated version gets a conflict that names the winning change',
    run: async (t, server) => {
      t.is((await server.apply('first', 0, [pool('p')])).status, 200);
      const second = await server.apply('second', 0, [pool('q')]);
      t.is(second.status, 409);
      t.like(second.body, { code: 'conflict', winner: { version: 1, author: 'ana' } });
      t.is(server.store.view.get(EntityKind.Pool, 'q'), undefined);
    },
  },
  {
    title: 'versions that controllers commit in between do not conflict with an operator change',
    run: async (t, server) => {
      await server.apply('first', 0, [pool('p'), upsert(vm('v', 'p'))]);
      const status = { id: 'v', state: VmState.Failed };
      await server.commitAsController([{ kind: EntityKind.VmStatus, id: 'v', value: status }]);
      const applied = await server.apply('second', 1, [pool('q')]);
      t.is(applied.status, 200);
      t.is(applied.body.version, 3);
    },
  },
  {
    title: 'repeating a committed change id returns its version, even after later changes',
    run: async (t, server) => {
      await server.apply('first', 0, [pool('p')]);
      await server.apply('second', 1, [pool('q')]);
      const again = await server.apply('first', 0, [pool('p')]);
      t.like(again, { status: 200, body: { version: 1, alreadyApplied: true } });
      t.is(server.store.view.version, 2);
    },
  },
  {
    title: 'a change is applied once when the platform response is lost',
    run: async (t, server) => {
      server.client.faults.loseAnswers = 0;
      const transact = server.client.table.transact.bind(server.client.table);
      let hasLostResponse = false;
      server.client.table.transact = async (conditions, writes) => {
        if (!hasLostResponse) server.client.faults.loseAnswers = 1;
        hasLostResponse = true;
        return transact(conditions, writes);
      };
      const applied = await server.apply('first', 0, [pool('p')]);
      t.like(applied, { status: 200, body: { version: 1 } });
      const history = await server.call('GET', '/v1/config/history');
      t.is((history.body as unknown as ConfigDelta[]).length, 1);
    },
  },
  {
    title: 'a new home pool requests a move, and the VM stays in its current pool',
    run: async (t, server) => {
      await server.apply('first', 0, [pool('p'), pool('q'), upsert(vm('v', 'p'))]);
      t.is((await server.apply('second', 1, [upsert(vm('v', 'q'))])).status, 200);
      t.like(server.store.view.get(EntityKind.Move, 'v'), {
        from: 'p',
        to: 'q',
        state: 'requested',
      });
      t.is(server.store.view.poolOf('v'), 'p');
    },
  },
  {
    title: 'changes of entities that the system manages are rejected',
    run: async (t, server) => {
      const value = { id: 'v', pool: 'p' };
      const refused = await server.apply('x', 0, [{ kind: EntityKind.Assignment, id: 'v', value }]);
      t.is(refused.status, 422);
      t.is(server.store.view.version, 0);
    },
  },
  {
    title: 'a change is rejected while the platform is down, and nothing is applied',
    run: async (t, server) => {
      server.client.faults.down = true;
      t.like(await server.apply('x', 0, [pool('p')]), { status: 503 });
      t.is(server.platform.rows.size, 0);
    },
  },
];

// Guards against operator changes that are lost, applied twice or applied in part.
for (const { title, run } of changeCases) {
  test(title, (t) => withTestServer((server) => run(t, server)));
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
    title: 'a fault injection request that the settings do not allow',
    path: '/v1/faults/cut',
    body: {},
    status: 404,
  },
];

// Guards against invalid requests that get an error response without a code and message.
for (const { title, token, path, body, status } of inputCases) {
  test(`${title} is rejected with status ${status}`, (t) =>
    withTestServer(async (server) => {
      const response = await server.call(body === undefined ? 'GET' : 'POST', path, body, token);
      t.is(response.status, status);
      t.is(typeof response.body.code, 'string');
      t.is(typeof response.body.message, 'string');
    }));
}
