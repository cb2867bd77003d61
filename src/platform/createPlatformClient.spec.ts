import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { createPlatform } from '../../standins/platform/platform.js';
import { FaultKind, type Fault } from '../../standins/shared/faults.js';
import { startStandin, type Handler } from '../../standins/shared/server.js';
import type { Clock } from '../clock/index.js';
import { createEventBus, EventName } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import {
  CallPurpose,
  createPlatformClient,
  PlatformErrorCode,
  platformSchema,
  CallRefusalReason,
  type RowPage,
  type PlatformSettings,
} from './index.js';

const encodeText = (text: string) => new TextEncoder().encode(text);

async function setUp(
  t: ExecutionContext,
  settings: Partial<PlatformSettings> = {},
  clock: Clock = createVirtualClock(),
  handle: Handler = createPlatform({ listLagMs: 0, rebootMs: 0 }),
) {
  const server = await startStandin(handle);
  const url = `http://127.0.0.1:${server.port}`;
  const client = createTestClient({ url, ...settings }, clock);
  t.teardown(async () => {
    await client.lifecycle.close();
    await server.close();
  });
  const post = async (path: string, body: unknown) => {
    const res = await request(url + path, { method: 'POST', body: JSON.stringify(body) });
    await res.body.dump();
    t.is(res.statusCode, 200);
  };
  return { ...client, server, url, post };
}

function createTestClient(
  settings: Partial<PlatformSettings>,
  clock: Clock = createVirtualClock(),
) {
  const lifecycle = new Lifecycle('test');
  const metrics = new Metrics();
  const events = createEventBus();
  const reachable: boolean[] = [];
  events.on(EventName.PlatformReachability, ({ reachable: now }) => {
    reachable.push(now);
  });
  const platform = createPlatformClient({
    settings: platformSchema.parse(settings),
    clock,
    random: createRandom(7),
    logger: silentLogger,
    metrics,
    events,
    lifecycle,
  });
  const count = async (name: string, labels: Record<string, string>) => {
    const metric = await metrics.registry.getSingleMetric(`burdocknotch_${name}`)?.get();
    const wanted = Object.entries(labels);
    return (metric?.values ?? [])
      .filter((sample) => wanted.every(([key, value]) => sample.labels[key] === value))
      .reduce((sum, { value }) => sum + value, 0);
  };
  return { platform, clock, lifecycle, reachable, count };
}

const WAIT_TIMEOUT_MS = 30_000;

async function waitUntil(condition: () => boolean): Promise<void> {
  const signal = AbortSignal.timeout(WAIT_TIMEOUT_MS);
  while (!condition()) {
    signal.throwIfAborted();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('the client reads and writes rows, objects, VMs and tasks over HTTP', async (t) => {
  const { platform, post } = await setUp(t);
  const { table, objects, vmList, pools, workers } = platform;
  const keys = ['a/1', 'a/2', 'a/3', 'b/1'];
  t.true(
    (
      await table.transact(
        [{ key: 'a/1', version: 0 }],
        keys.map((key) => ({ key, value: { key } })),
      )
    ).isOk,
  );
  const conflict = await table.transact([{ key: 'a/2', version: 0 }], [{ key: 'a/1' }]);
  t.true(conflict.isErr && conflict.error.code === PlatformErrorCode.ConditionFailed);
  t.is(conflict.isErr ? conflict.error.failedKey : '', 'a/2');
  t.deepEqual((await table.get('a/1')).unwrapOr(undefined), {
    key: 'a/1',
    version: 1,
    value: { key: 'a/1' },
  });
  const page = (await table.scan('a/', 2)).unwrapOr<RowPage>({ rows: [] });
  t.deepEqual([page.rows.map(({ key }) => key), page.next], [['a/1', 'a/2'], 'a/2']);
  t.is((await table.scan('a/', 2, page.next)).unwrapOr({ rows: [] }).rows.length, 1);
  t.true((await table.transact([], [{ key: 'a/1' }])).isOk);
  t.true((await table.get('a/1')).match({ Ok: (row) => row === undefined, Err: () => false }));

  t.true((await objects.put('result/x/1', encodeText('abc'))).isOk);
  t.deepEqual((await objects.get('result/x/1')).unwrapOr(undefined), encodeText('abc'));
  t.true((await objects.get('none')).match({ Ok: (body) => body === undefined, Err: () => false }));

  await post('/control/vms', [{ id: 'vm-1', zone: 'z' }]);
  let listed = 0;
  while (listed === 0) listed = (await vmList.list('z')).unwrapOr([]).length;
  t.is((await vmList.list('other')).unwrapOr([]).length, 0);
  const task = {
    id: 'job.1',
    jobId: 'job',
    epoch: 1,
    leaseMs: 600_000,
    cores: 1,
    memoryMib: 1,
    accelerators: 0,
    payload: {},
    resultKey: 'r',
  };
  t.true((await workers.start('vm-1', task)).isOk);
  t.true((await workers.renew('vm-1', 'job.1', 1, 600_000)).isOk);
  t.true((await pools.drain('vm-1')).isOk);
  t.is((await pools.drainStatus('vm-1')).unwrapOr({ state: '', active: 0 }).active, 1);
  const refusedStart = await workers.start('vm-1', { ...task, id: 'job.2', epoch: 2 });
  t.true(refusedStart.isErr && refusedStart.error.code === PlatformErrorCode.Refused);
  t.true((await workers.checkpoint('vm-1', 'job.1')).isOk);
  t.is((await pools.drainStatus('vm-1')).unwrapOr({ state: '', active: 9 }).active, 0);
});

// A failed write whose outcome is unknown must be reported so, whether or not it took effect.
const faultCases: { fault: Fault; code: PlatformErrorCode; applied: boolean }[] = [
  {
    fault: { kind: FaultKind.Fail },
    code: PlatformErrorCode.OutcomeUnknown,
    applied: false,
  },
  {
    fault: { kind: FaultKind.DropResponse },
    code: PlatformErrorCode.OutcomeUnknown,
    applied: true,
  },
  {
    fault: { kind: FaultKind.TruncateBody },
    code: PlatformErrorCode.OutcomeUnknown,
    applied: true,
  },
];
for (const { fault, code, applied } of faultCases) {
  test(`a write during fault ${fault.kind} fails with ${code}`, async (t) => {
    const { platform, post } = await setUp(t);
    await post('/control/faults', { ...fault, path: '/v1/table/transactions', times: 1 });
    const result = await platform.table.transact([], [{ key: 'k', value: 1 }]);
    t.is(result.isErr ? result.error.code : undefined, code);
    t.true(result.isErr && result.error.mayHaveTakenEffect);
    const row = await platform.table.get('k');
    t.is(row.isOk && row.value !== undefined, applied);
  });
}

test('a response with the request id of another call is rejected', async (t) => {
  const { platform, post } = await setUp(t, { readRetries: 0 });
  await post('/control/faults', { kind: FaultKind.SwapResponses, times: 2 });
  const results = await Promise.all([platform.table.get('a'), platform.table.get('b')]);
  for (const result of results) {
    t.is(result.isErr ? result.error.code : undefined, PlatformErrorCode.BadAnswer);
  }
});

test('a call that times out has an unknown outcome only if it was sent', async (t) => {
  const arrived: string[] = [];
  const pending = new Promise<undefined>(() => undefined);
  const timerCallbacks: (() => void)[] = [];
  const clock: Clock = {
    ...createVirtualClock(),
    setTimer: (_delayMs, callback) => {
      timerCallbacks.push(callback);
      return { cancel: () => undefined };
    },
  };
  const { platform } = await setUp(t, { maxConcurrent: 1 }, clock, (call) => {
    arrived.push(call.path);
    return pending;
  });
  const sent = platform.table.transact([], [{ key: 'k', value: 1 }]);
  await waitUntil(() => arrived.length === 1);
  const waiting = platform.pools.drain('never-sent');
  timerCallbacks[1]?.();
  timerCallbacks[0]?.();
  const codes = [await sent, await waiting].map((result) =>
    result.isErr ? result.error.code : undefined,
  );
  t.deepEqual(codes, [PlatformErrorCode.OutcomeUnknown, PlatformErrorCode.Unreachable]);
  void platform.pools.drain('next');
  await waitUntil(() => arrived.length === 2);
  t.deepEqual(arrived, ['/v1/table/transactions', '/v1/vms/next/drain']);
});

// Retrying a write could apply it twice.
test('a read is retried after a lost response, a write is not', async (t) => {
  const clock = createVirtualClock();
  const { platform, post, count } = await setUp(t, {}, clock);
  await post('/control/faults', { kind: FaultKind.DropResponse, path: '/v1/table', times: 2 });
  t.true((await platform.table.transact([], [{ key: 'k', value: 1 }])).isErr);
  let row: Awaited<ReturnType<typeof platform.table.get>> | undefined;
  void platform.table.get('k').then((result) => (row = result));
  while (!row) {
    await clock.advance(10);
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(row.isOk ? row.value?.version : undefined, 1);
  t.is(await count('platform_retries_total', {}), 1);
  t.is(await count('platform_calls_total', { kind: 'write' }), 1);
});

test('calls beyond the rate limit are refused, but lease renewals still pass', async (t) => {
  const { platform, count } = await setUp(t, { writesPerSecond: 20 });
  const jobs = platform.forPurpose(CallPurpose.Job);
  const codes: (string | undefined)[] = [];
  for (let i = 0; i < 25; i += 1) {
    const result = await jobs.table.transact([], [{ key: 'k', value: i }]);
    codes.push(result.isErr ? result.error.code : undefined);
  }
  t.is(codes.filter((code) => code === PlatformErrorCode.RateLimited).length, 7);
  const lease = platform.forPurpose(CallPurpose.Lease);
  t.true((await lease.table.transact([], [{ key: 'lease', value: 1 }])).isOk);
  t.is(await count('platform_calls_total', { kind: 'write', purpose: CallPurpose.Job }), 18);
  t.is(await count('platform_calls_total', { kind: 'write', purpose: CallPurpose.Lease }), 1);
  t.is(await count('platform_refusals_total', { reason: CallRefusalReason.WriteShare }), 7);
});

test('calls beyond the concurrency limit are refused', async (t) => {
  let arrived = 0;
  const { platform, count } = await setUp(
    t,
    { maxConcurrent: 2, maxWaiting: 1 },
    createVirtualClock(),
    () => {
      arrived += 1;
      return new Promise<undefined>(() => undefined);
    },
  );
  for (let i = 0; i < 3; i += 1) void platform.table.get('k');
  await waitUntil(() => arrived === 2);
  const result = await platform.table.get('k');
  t.is(result.isErr ? result.error.code : undefined, PlatformErrorCode.RateLimited);
  t.is(await count('platform_refusals_total', { reason: CallRefusalReason.TooManyCalls }), 1);
});

test('an unreachable platform receives only probes until it responds to one', async (t) => {
  let healthy = false;
  const clock = createVirtualClock();
  const { platform, reachable, count } = await setUp(t, {}, clock, () =>
    healthy ? { status: 200, body: { row: null } } : undefined,
  );
  for (let i = 0; i < 3; i += 1) await platform.table.transact([], [{ key: 'k', value: 1 }]);
  const refused = await platform.table.transact([], [{ key: 'k', value: 1 }]);
  t.is(refused.isErr ? refused.error.code : undefined, PlatformErrorCode.Unreachable);
  t.is(await count('platform_refusals_total', { reason: CallRefusalReason.Unreachable }), 1);
  t.is(await count('platform_calls_total', {}), 3);
  healthy = true;
  while (reachable.length < 2) await clock.advance(100);
  t.deepEqual(reachable, [false, true]);
  t.true((await platform.table.get('k')).isOk);
});

test('a refused connection fails the call and marks the platform as unreachable', async (t) => {
  const server = await startStandin(() => undefined);
  await server.close();
  const { platform, lifecycle, reachable } = createTestClient({
    url: `http://127.0.0.1:${server.port}`,
  });
  const result = await platform.table.transact([], [{ key: 'k', value: 1 }]);
  t.is(result.isErr ? result.error.code : undefined, PlatformErrorCode.Unreachable);
  await waitUntil(() => reachable.length > 0);
  t.deepEqual(reachable, [false]);
  await lifecycle.close();
});
