import test from 'ava';
import { request } from 'undici';
import { createPlatform } from '../../standins/platform/platform.js';
import { FaultKind, type Fault } from '../../standins/shared/faults.js';
import { startStandin } from '../../standins/shared/server.js';
import { systemClock } from '../clock/index.js';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import {
  CallPurpose,
  createPlatformClient,
  platformSchema,
  type PlatformClient,
} from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { createJobController, createJobStore, jobsSchema } from './index.js';

const ZONE = 'zone-a';
const DEADLINE_MS = 60_000;

/** Yields to the event loop, which a call rejected by the local rate limit does not do. */
async function yieldToEventLoop(signal: AbortSignal): Promise<void> {
  signal.throwIfAborted();
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against fields that the in-memory fake passes on but the HTTP protocol loses.
const faultSets: Fault[][] = [
  [],
  [{ kind: FaultKind.Delay, ms: 50 }],
  [{ kind: FaultKind.DelayResponse, ms: 50 }],
  [
    { kind: FaultKind.DropResponse, path: '/v1/table/transactions', times: 2 },
    { kind: FaultKind.TruncateBody, path: '/v1/vms', times: 1 },
  ],
  [{ kind: FaultKind.Freeze, path: '/v1/table', times: 2 }],
];
for (const faults of faultSets) {
  const name = faults.map(({ kind }) => kind).join(', ') || 'no faults';
  test(`a job runs over HTTP with ${name}`, async (t) => {
    const server = await startStandin(createPlatform({ listLagMs: 0, rebootMs: 0 }));
    const url = `http://127.0.0.1:${server.port}`;
    const post = async (path: string, body: unknown) => {
      const res = await request(url + path, { method: 'POST', body: JSON.stringify(body) });
      await res.body.dump();
    };
    const lifecycle = new Lifecycle('test');
    const metrics = new Metrics();
    const shared = { clock: systemClock, random: createRandom(1), logger: silentLogger, metrics };
    // Separate clients have separate rate limits: repeated submissions may exhaust the caller's.
    const [platform, callerPlatform] = [1, 2].map(() =>
      createPlatformClient({
        ...shared,
        settings: platformSchema.parse({ url, callTimeoutMs: 500 }),
        events: createEventBus(),
        lifecycle,
      }).forPurpose(CallPurpose.Job),
    ) as [PlatformClient, PlatformClient];
    const settings = jobsSchema.parse({ pollIntervalMs: 50 });
    const worker = { vm: 'vm-0', cores: 8, memoryMib: 1_024, accelerators: 0, usable: true };
    const controller = createJobController({
      ...shared,
      zone: ZONE,
      platform,
      settings,
      leaseCondition: () => ({ key: 'lease', version: 1 }),
      workers: () => [worker],
    });
    const store = createJobStore({
      ...shared,
      platform: callerPlatform,
      settings,
      zone: ZONE,
      maxOpenJobs: () => 10,
      fitsInventory: () => true,
      notify: (_zone, id) => {
        controller.notify(id);
      },
    });
    await post('/control/vms', [{ id: 'vm-0', zone: ZONE }]);
    await platform.table.transact([], [{ key: 'lease', value: {} }]);
    const running = controller.run(lifecycle);
    t.teardown(async () => {
      await request(`${url}/control/faults`, { method: 'DELETE' });
      await lifecycle.close();
      await running;
      await server.close();
    });
    for (const fault of faults) await post('/control/faults', fault);

    const signal = AbortSignal.timeout(DEADLINE_MS);
    const spec = { id: 'j', team: 'team', kind: 'k', urgent: true, idempotent: true };
    const size = { cores: 1, memoryMib: 1, accelerators: 0 };
    const payload = { runMs: 20, result: 'whole' };
    // A caller repeats a submission until its outcome is certain.
    while ((await store.submit({ ...spec, ...size, payload })).isErr)
      await yieldToEventLoop(signal);
    const ended = metrics.counter('jobs_ended_total', '');
    while ((await ended.get()).values.length === 0) await yieldToEventLoop(signal);
    const body = await store.readResult('j');
    t.is(new TextDecoder().decode(body.unwrapOr(new Uint8Array())), 'whole');
  });
}
