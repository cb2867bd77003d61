import test from 'ava';
import { createEventBus, EventName, LeavingSign, type EventBus } from '../events/index.js';
import { EntityKind, VmState, type ConfigView } from '../configuration/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import { MemoryView } from '../testing/memoryView.js';
import {
  BackendError,
  BackendErrorCode,
  backendsSchema,
  createBackendHealth,
  createExecutorChooser,
  createLeavingSet,
  createUsablePredicate,
} from './index.js';

const SEED = 20240;
const VMS = Array.from({ length: 6 }, (_, i) => `vm${i}`);
const EXECUTORS = VMS.map((vm) => ({ vm, service: 'draws', slots: 8 }));

function createRig(probe: (vm: string) => boolean = () => false) {
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('test');
  const health = createBackendHealth({
    clock,
    random: createRandom(SEED),
    metrics: new Metrics(),
    settings: backendsSchema.parse({}),
    lifecycle,
    probe: (vm) => Promise.resolve(probe(vm)),
  });
  health.setExecutors(EXECUTORS);
  const attempt = (vm: string, code?: BackendErrorCode, status = 200) => {
    health.recordStart(vm);
    health.recordEnd(vm, code && new BackendError(code, 'failed', true), status, 10);
  };
  const ejected = () => VMS.filter((vm) => health.weight(vm) === 0);
  return { clock, lifecycle, health, attempt, ejected };
}

type Rig = ReturnType<typeof createRig>;

function repeat(count: number, act: (i: number) => void): void {
  for (let i = 0; i < count; i++) act(i);
}

/** Records attempts for all executors in turn; `codeOf` returns the error of a VM's attempts. */
function attemptAll(
  rig: Rig,
  rounds: number,
  codeOf: (vm: string) => BackendErrorCode | undefined,
) {
  repeat(rounds, () => {
    for (const vm of VMS) rig.attempt(vm, codeOf(vm));
  });
}

/** Keeps requests in flight on one executor while another one responds. */
async function stall(rig: Rig, inFlight: number, ms: number): Promise<void> {
  repeat(inFlight, () => {
    rig.health.recordStart('vm1');
  });
  await rig.clock.advance(ms);
  repeat(25, () => {
    rig.attempt('vm2');
  });
}

const { Truncated, Timeout, ResponseMismatch, Cancelled, NotStarted } = BackendErrorCode;

const ejections: { name: string; act: (rig: Rig) => unknown; ejected: string[] }[] = [
  {
    name: 'an executor that fails every attempt',
    act: (rig) => {
      attemptAll(rig, 10, (vm) => (vm === 'vm1' ? Truncated : undefined));
    },
    ejected: ['vm1'],
  },
  {
    name: 'an executor that responds to every request with a server error',
    act: (rig) => {
      repeat(10, () => {
        for (const vm of VMS) rig.attempt(vm, undefined, vm === 'vm1' ? 500 : 200);
      });
    },
    ejected: ['vm1'],
  },
  {
    name: 'an executor that stalls while the others respond',
    act: (rig) => stall(rig, 8, 3_000),
    ejected: ['vm1'],
  },
  {
    name: 'no executor while a few long requests run',
    act: (rig) => stall(rig, 4, 60_000),
    ejected: [],
  },
  {
    name: 'no executor when all fail alike',
    act: (rig) => {
      attemptAll(rig, 20, () => Timeout);
    },
    ejected: [],
  },
  {
    name: 'at most a third of the executors of a service',
    act: (rig) => {
      attemptAll(rig, 40, (vm) => (vm > 'vm2' ? ResponseMismatch : undefined));
    },
    ejected: ['vm3', 'vm4'],
  },
  {
    name: 'no executor for errors that do not count against it',
    act: (rig) => {
      attemptAll(rig, 20, (vm) => (vm === 'vm1' ? Cancelled : NotStarted));
    },
    ejected: [],
  },
];

for (const { name, act, ejected } of ejections) {
  test(`ejects ${name}`, async (t) => {
    const rig = createRig();
    await act(rig);
    t.deepEqual(rig.ejected(), ejected);
  });
}

test('an ejected executor returns after a successful probe and ramps up in slow start', async (t) => {
  let isHealthy = false;
  const rig = createRig(() => isHealthy);
  const fail = () => {
    repeat(10, () => {
      rig.attempt('vm1', BackendErrorCode.ConnectionLost);
    });
  };
  fail();
  await rig.clock.advance(30_000);
  t.is(rig.health.weight('vm1'), 0);
  isHealthy = true;
  while (rig.health.weight('vm1') === 0) await rig.clock.advance(1_000);
  t.true(rig.health.weight('vm1') <= 0.2);
  await rig.clock.advance(5_000);
  t.true(rig.health.weight('vm1') > 0.4 && rig.health.weight('vm1') < 1);
  await rig.clock.advance(10_000);
  t.is(rig.health.weight('vm1'), 1);
  await rig.lifecycle.close();
});

/** Counts the choices of `vm0` out of 1,000 while it is idle and the others use `busy` slots. */
function countIdlePicks(weight: (vm: string) => number, busy: number): number {
  const choose = createExecutorChooser({
    random: createRandom(SEED),
    weight,
    isLeaving: () => false,
  });
  let picks = 0;
  repeat(1_000, () => {
    if (choose(EXECUTORS, (vm) => (vm === 'vm0' ? 0 : busy))?.vm === 'vm0') picks += 1;
  });
  return picks;
}

test('of two random candidates, the executor with less outstanding work is chosen', (t) => {
  const picks = countIdlePicks(() => 1, 5);
  // One of two random candidates out of six is the idle one with probability one third.
  t.true(picks > 280 && picks < 390, String(picks));
});

test('an executor that fails fast attracts no work because of its lowered weight', (t) => {
  const rig = createRig();
  repeat(4, () => {
    rig.attempt('vm0', BackendErrorCode.ConnectionLost);
  });
  t.is(
    countIdlePicks((vm) => rig.health.weight(vm), 6),
    0,
  );
  t.true(countIdlePicks(() => 1, 6) > 0);
});

test('a lowered weight limits the slots in use even when the others are full', (t) => {
  const weight = (vm: string) => (vm === 'vm0' ? 0.25 : 1);
  const choose = createExecutorChooser({
    random: createRandom(SEED),
    weight,
    isLeaving: () => false,
  });
  t.is(choose(EXECUTORS, (vm) => (vm === 'vm0' ? 1 : 8))?.vm, 'vm0');
  t.is(
    choose(EXECUTORS, (vm) => (vm === 'vm0' ? 2 : 8)),
    undefined,
  );
});

test('a leaving VM gets no new work from the first sign until it is back', async (t) => {
  const { clock, lifecycle } = createRig();
  const bus = createEventBus();
  const leavingVms = new Set<string>();
  const view: ConfigView = {
    version: 1,
    get: () => undefined,
    list: (kind) =>
      (kind === EntityKind.VmStatus
        ? [...leavingVms].map((id) => ({ id, state: VmState.Leaving }))
        : []) as never,
    poolOf: () => undefined,
    vmsOfPool: () => [],
  };
  const settings = backendsSchema.parse({ maxLeaving: 10 });
  const metrics = new Metrics();
  const leaving = createLeavingSet({ clock, bus, view, metrics, settings, lifecycle });
  const isUsable = createUsablePredicate({
    random: createRandom(SEED),
    weight: () => 1,
    isLeaving: (vm) => leaving.has(vm),
  });
  const applyConfig = async (...vms: string[]) => {
    leavingVms.clear();
    for (const vm of vms) leavingVms.add(vm);
    await bus.emit(EventName.ConfigInForce, { version: 2 });
  };

  await bus.emit(EventName.VmLeaving, { vm: 'vm1', sign: LeavingSign.VmList });
  t.false(isUsable('vm1'));
  await applyConfig('vm1');
  await clock.advance(60_000);
  t.false(isUsable('vm1'));
  await applyConfig();
  t.true(isUsable('vm1'));

  leaving.add('vm2', LeavingSign.OwnRefusal);
  t.false(isUsable('vm2'));
  await clock.advance(5_000);
  t.true(isUsable('vm2'));

  repeat(20, (i) => {
    leaving.add(`other${i}`, LeavingSign.VmList);
  });
  t.is(
    VMS.length +
      20 -
      [...VMS, ...Array.from({ length: 20 }, (_, i) => `other${i}`)].filter(isUsable).length,
    10,
  );
  const counter = await metrics.registry.getSingleMetricAsString(
    'burdocknotch_backend_leaving_dropped_total',
  );
  t.regex(counter, /total 10$/m);
});

interface LeavingCase {
  title: string;
  events: (bus: EventBus) => Promise<void>;
  /** Whether the VM may get work again according to its probes. */
  mayReturn: boolean;
  waitMs: number;
  isLeaving: boolean;
  isReported: boolean;
}

const emitSign = (sign: LeavingSign) => (bus: EventBus) =>
  bus.emit(EventName.VmLeaving, { vm: 'v', sign });

const leavingCases: LeavingCase[] = [
  {
    title: 'a report from another member counts but is not reported again, so that reports expire',
    ...{ events: emitSign(LeavingSign.PeerReport), mayReturn: true, waitMs: 0 },
    ...{ isLeaving: true, isReported: false },
  },
  {
    title: 'a report that is not repeated expires',
    ...{ events: emitSign(LeavingSign.PeerReport), mayReturn: true, waitMs: 5_000 },
    ...{ isLeaving: false, isReported: false },
  },
  {
    title: 'a VM that also refuses probes gets no new work after its refusal expires',
    ...{ events: emitSign(LeavingSign.OwnRefusal), mayReturn: false, waitMs: 60_000 },
    ...{ isLeaving: true, isReported: true },
  },
  {
    title: 'a refusal seen by this process supersedes a report and is reported',
    events: async (bus) => {
      await emitSign(LeavingSign.PeerReport)(bus);
      await emitSign(LeavingSign.OwnRefusal)(bus);
    },
    ...{ mayReturn: true, waitMs: 0, isLeaving: true, isReported: true },
  },
  {
    title: 'a VM that is listed as live before its leaving was recorded is usable again at once',
    events: async (bus) => {
      await emitSign(LeavingSign.VmList)(bus);
      await bus.emit(EventName.VmReturned, { vm: 'v' });
    },
    ...{ mayReturn: true, waitMs: 0, isLeaving: false, isReported: false },
  },
  {
    title:
      'a sign from the VM list expires after the lease is lost, as this process no longer reads the list',
    events: async (bus) => {
      await emitSign(LeavingSign.VmList)(bus);
      await bus.emit(EventName.LeaseChanged, { zone: 'z', epoch: 1, held: false });
    },
    ...{ mayReturn: true, waitMs: 5_000, isLeaving: false, isReported: false },
  },
];

for (const { title, events, mayReturn, waitMs, isLeaving, isReported } of leavingCases) {
  test(`leaving set: ${title}`, async (t) => {
    const clock = createVirtualClock();
    const bus = createEventBus();
    const leaving = createLeavingSet({
      ...{ clock, bus, view: new MemoryView(), metrics: new Metrics() },
      settings: backendsSchema.parse({}),
      lifecycle: new Lifecycle('test'),
      mayReturn: () => mayReturn,
    });
    await events(bus);
    await clock.advance(waitMs);
    t.is(leaving.has('v'), isLeaving);
    t.deepEqual(leaving.locallyObserved(), isReported ? ['v'] : []);
  });
}
