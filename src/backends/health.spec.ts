import test from 'ava';
import { createEventBus, EventName, LeavingReason, type EventBus } from '../events/index.js';
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
  createChooser,
  createLeavingSet,
  createUsable,
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
    health.started(vm);
    health.record(vm, code && new BackendError(code, 'failed', true), status, 10);
  };
  const ejected = () => VMS.filter((vm) => health.weight(vm) === 0);
  return { clock, lifecycle, health, attempt, ejected };
}

type Rig = ReturnType<typeof createRig>;

function repeat(count: number, act: (i: number) => void): void {
  for (let i = 0; i < count; i++) act(i);
}

/** Every executor makes attempts in turn; `codeOf` says how those of a VM end. */
function attemptAll(
  rig: Rig,
  rounds: number,
  codeOf: (vm: string) => BackendErrorCode | undefined,
) {
  repeat(rounds, () => {
    for (const vm of VMS) rig.attempt(vm, codeOf(vm));
  });
}

/** One executor has requests in flight without an end while another answers. */
async function stall(rig: Rig, inFlight: number, ms: number): Promise<void> {
  repeat(inFlight, () => {
    rig.health.started('vm1');
  });
  await rig.clock.advance(ms);
  repeat(25, () => {
    rig.attempt('vm2');
  });
}

const { Truncated, Timeout, Crossed, Cancelled, NotStarted } = BackendErrorCode;

const ejections: { name: string; act: (rig: Rig) => unknown; ejected: string[] }[] = [
  {
    name: 'an executor that fails everything',
    act: (rig) => {
      attemptAll(rig, 10, (vm) => (vm === 'vm1' ? Truncated : undefined));
    },
    ejected: ['vm1'],
  },
  {
    name: 'an executor that answers everything with a server error',
    act: (rig) => {
      repeat(10, () => {
        for (const vm of VMS) rig.attempt(vm, undefined, vm === 'vm1' ? 500 : 200);
      });
    },
    ejected: ['vm1'],
  },
  {
    name: 'an executor that stalls while the others answer',
    act: (rig) => stall(rig, 8, 3_000),
    ejected: ['vm1'],
  },
  {
    name: 'nothing while a few long requests run',
    act: (rig) => stall(rig, 4, 60_000),
    ejected: [],
  },
  {
    name: 'nothing when all fail alike',
    act: (rig) => {
      attemptAll(rig, 20, () => Timeout);
    },
    ejected: [],
  },
  {
    name: 'at most a third of the pool',
    act: (rig) => {
      attemptAll(rig, 40, (vm) => (vm > 'vm2' ? Crossed : undefined));
    },
    ejected: ['vm3', 'vm4'],
  },
  {
    name: 'nothing for ends that do not speak against the executor',
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

test('an ejected executor returns through probes and slow start', async (t) => {
  let isWell = false;
  const rig = createRig(() => isWell);
  const fail = () => {
    repeat(10, () => {
      rig.attempt('vm1', BackendErrorCode.ConnectionLost);
    });
  };
  fail();
  await rig.clock.advance(30_000);
  t.is(rig.health.weight('vm1'), 0);
  isWell = true;
  while (rig.health.weight('vm1') === 0) await rig.clock.advance(1_000);
  t.true(rig.health.weight('vm1') <= 0.2);
  await rig.clock.advance(5_000);
  t.true(rig.health.weight('vm1') > 0.4 && rig.health.weight('vm1') < 1);
  await rig.clock.advance(10_000);
  t.is(rig.health.weight('vm1'), 1);
  await rig.lifecycle.close();
});

/** Picks per VM out of 1,000 while `vm0` is always idle and the others hold `busy` slots. */
function picksOfIdle(weight: (vm: string) => number, busy: number): number {
  const choose = createChooser({ random: createRandom(SEED), weight, isLeaving: () => false });
  let picks = 0;
  repeat(1_000, () => {
    if (choose(EXECUTORS, (vm) => (vm === 'vm0' ? 0 : busy))?.vm === 'vm0') picks += 1;
  });
  return picks;
}

test('the executor with less outstanding work is preferred, with a random element', (t) => {
  const picks = picksOfIdle(() => 1, 5);
  // One of two random candidates out of six is the idle one with probability one third.
  t.true(picks > 280 && picks < 390, String(picks));
});

test('an executor that fails fast does not attract work; without its weight it would', (t) => {
  const rig = createRig();
  repeat(4, () => {
    rig.attempt('vm0', BackendErrorCode.ConnectionLost);
  });
  t.is(
    picksOfIdle((vm) => rig.health.weight(vm), 6),
    0,
  );
  t.true(picksOfIdle(() => 1, 6) > 0);
});

test('a lowered weight limits the slots in use even when the others are full', (t) => {
  const weight = (vm: string) => (vm === 'vm0' ? 0.25 : 1);
  const choose = createChooser({ random: createRandom(SEED), weight, isLeaving: () => false });
  t.is(choose(EXECUTORS, (vm) => (vm === 'vm0' ? 1 : 8))?.vm, 'vm0');
  t.is(
    choose(EXECUTORS, (vm) => (vm === 'vm0' ? 2 : 8)),
    undefined,
  );
});

test('leaving VMs get nothing new, from the first sign until they are back', async (t) => {
  const { clock, lifecycle } = createRig();
  const bus = createEventBus();
  const away = new Set<string>();
  const view: ConfigView = {
    version: 1,
    get: () => undefined,
    list: (kind) =>
      (kind === EntityKind.VmStatus
        ? [...away].map((id) => ({ id, state: VmState.Leaving }))
        : []) as never,
    poolOf: () => undefined,
    vmsOfPool: () => [],
  };
  const settings = backendsSchema.parse({ maxLeaving: 10 });
  const metrics = new Metrics();
  const leaving = createLeavingSet({ clock, bus, view, metrics, settings, lifecycle });
  const usable = createUsable({
    random: createRandom(SEED),
    weight: () => 1,
    isLeaving: (vm) => leaving.has(vm),
  });
  const inForce = async (...vms: string[]) => {
    away.clear();
    for (const vm of vms) away.add(vm);
    await bus.emit(EventName.ConfigInForce, { version: 2 });
  };

  await bus.emit(EventName.VmLeaving, { vm: 'vm1', reason: LeavingReason.VmList });
  t.false(usable('vm1'));
  await inForce('vm1');
  await clock.advance(60_000);
  t.false(usable('vm1'));
  await inForce();
  t.true(usable('vm1'));

  leaving.add('vm2', LeavingReason.OwnRefusal);
  t.false(usable('vm2'));
  await clock.advance(5_000);
  t.true(usable('vm2'));

  repeat(20, (i) => {
    leaving.add(`other${i}`, LeavingReason.VmList);
  });
  t.is(
    VMS.length +
      20 -
      [...VMS, ...Array.from({ length: 20 }, (_, i) => `other${i}`)].filter(usable).length,
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
  /** Whether the VM may be tried again, by its probes. */
  mayReturn: boolean;
  waitMs: number;
  leaves: boolean;
  reported: boolean;
}

const says = (reason: LeavingReason) => (bus: EventBus) =>
  bus.emit(EventName.VmLeaving, { vm: 'v', reason });

const leavingCases: LeavingCase[] = [
  {
    title: 'a report of another member counts and is not reported again, so that reports end',
    ...{ events: says(LeavingReason.PeerReport), mayReturn: true, waitMs: 0 },
    ...{ leaves: true, reported: false },
  },
  {
    title: 'a report that is not repeated ends',
    ...{ events: says(LeavingReason.PeerReport), mayReturn: true, waitMs: 5_000 },
    ...{ leaves: false, reported: false },
  },
  {
    title: 'a VM that refuses probes too gets no work to find that out',
    ...{ events: says(LeavingReason.OwnRefusal), mayReturn: false, waitMs: 60_000 },
    ...{ leaves: true, reported: true },
  },
  {
    title: 'a refusal ends a report, so that it is reported from here',
    events: async (bus) => {
      await says(LeavingReason.PeerReport)(bus);
      await says(LeavingReason.OwnRefusal)(bus);
    },
    ...{ mayReturn: true, waitMs: 0, leaves: true, reported: true },
  },
  {
    title: 'a VM that is listed as live before its leaving was recorded is back at once',
    events: async (bus) => {
      await says(LeavingReason.VmList)(bus);
      await bus.emit(EventName.VmReturned, { vm: 'v' });
    },
    ...{ mayReturn: true, waitMs: 0, leaves: false, reported: false },
  },
  {
    title: 'a sign of the VM list ends after the lease was lost, as this process reads it no more',
    events: async (bus) => {
      await says(LeavingReason.VmList)(bus);
      await bus.emit(EventName.LeaseChanged, { zone: 'z', epoch: 1, held: false });
    },
    ...{ mayReturn: true, waitMs: 5_000, leaves: false, reported: false },
  },
];

for (const { title, events, mayReturn, waitMs, leaves, reported } of leavingCases) {
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
    t.is(leaving.has('v'), leaves);
    t.deepEqual(leaving.firstHand(), reported ? ['v'] : []);
  });
}
