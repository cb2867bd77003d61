import test from 'ava';
import {
  EntityKind,
  MoveState,
  VmState,
  type ConfigView,
  type EntityChange,
  type Pool,
} from '../configuration/index.js';
import { ListedVmState } from '../platform/index.js';
import { ControllerRig, findViolations, fleetOf } from '../testing/controllerRig.js';
import { CallFault, type PlatformCall } from '../testing/interceptedPlatform.js';
import { MemoryView } from '../testing/memoryView.js';
import { planLoans, ProbeResult } from './index.js';

const MINUTE_MS = 60_000;
/** A VM of pool p0; the VMs of a rack alternate between the pools. */
const VM = 'z0r0v0';

/** Indexes of the platform calls at which faults are injected. */
const steps = Array.from({ length: 50 }, (_, index) => index);

const requestMove = (id: string, from = 'p0', to = 'p1'): EntityChange => {
  return { kind: EntityKind.Move, id, value: { id, from, to, state: MoveState.Requested } };
};

const hasNoMoves = (view: ConfigView) => view.list(EntityKind.Move).length === 0;

async function setUp(p0: Partial<Pool> = {}, p1: Partial<Pool> = {}, zones = 1) {
  const rig = new ControllerRig();
  await rig.load(fleetOf({ zones, racksPerZone: 2, vmsPerRack: 4, pools: [p0, p1] }));
  await rig.commitAsOperator([requestMove(VM)]);
  return rig;
}

test('a requested move drains the VM, writes the assignment and puts it in service', async (t) => {
  const rig = await setUp();
  let calls = 0;
  rig.start('z0', 'a', { faultOf: ({ index }) => ((calls = index + 1), CallFault.None) });
  t.true(await rig.until(hasNoMoves, MINUTE_MS));
  t.true(calls <= steps.length, `${calls} calls; faults must be injected at each of them`);
  const view = await rig.newestView();
  t.is(view.poolOf(VM), 'p1');
  t.false(rig.platform.drains.has(VM));
  t.deepEqual(findViolations(await rig.deltas()), []);
  await rig.close();
});

const faults = [
  CallFault.CrashBefore,
  CallFault.CrashAfter,
  CallFault.LoseAnswer,
  CallFault.Down,
  CallFault.Pause,
];

for (const fault of faults) {
  // A VM left between two pools, or drained in its new pool, would be lost capacity.
  test(`a move ends with the VM in service when one call has the fault ${fault}`, async (t) => {
    for (const step of steps) {
      const rig = await setUp();
      rig.start('z0', 'a', { faultOf: ({ index }) => (index === step ? fault : CallFault.None) });
      await rig.clock.advance(50);
      const second = rig.start('z0', 'b');
      t.true(await rig.until(hasNoMoves, 5 * MINUTE_MS), `step ${step}`);
      await rig.clock.advance(5 * MINUTE_MS);
      t.is((await rig.newestView()).poolOf(VM), 'p1', `step ${step}`);
      t.false(rig.platform.drains.has(VM), `step ${step}`);
      t.deepEqual(findViolations(await rig.deltas()), [], `step ${step}`);
      await rig.close([second.lifecycle]);
    }
  });
}

test('a move waits for a permit, and is deleted or undone when a rule does not allow it', async (t) => {
  const other = 'z0r0v2';
  const cases: {
    title: string;
    p0?: Partial<Pool>;
    p1?: Partial<Pool>;
    during?: (rig: ControllerRig) => unknown;
    settles: boolean;
    pool: string;
    drained?: boolean;
  }[] = [
    { title: 'no permit', p0: { maxAway: 0 }, settles: false, pool: 'p0' },
    {
      title: 'lender to borrower',
      p0: { isSpare: true },
      p1: { mayBorrow: true },
      settles: true,
      pool: 'p1',
    },
    { title: 'target may not borrow', p0: { isSpare: true }, settles: true, pool: 'p0' },
    {
      title: 'vendor drains the VM during the move',
      during: (rig) =>
        rig.platform.vms.set(VM, { id: VM, zone: 'z0', state: ListedVmState.Leaving }),
      settles: true,
      pool: 'p0',
      // The drain by the vendor stays in force.
      drained: true,
    },
    {
      title: 'the source is at risk during the move',
      p0: { maxAway: 1 },
      during: (rig) => rig.unhealthyVms.set(other, ProbeResult.Failed),
      settles: true,
      pool: 'p0',
    },
    {
      title: 'the target is deleted during the move',
      during: (rig) =>
        rig.commitAsOperator([
          { kind: EntityKind.Service, id: 's-p1' },
          { kind: EntityKind.Pool, id: 'p1' },
        ]),
      settles: true,
      pool: 'p0',
    },
    {
      title: 'an operator deletes the move',
      during: (rig) => rig.commitAsOperator([{ kind: EntityKind.Move, id: VM }]),
      settles: true,
      pool: 'p0',
    },
  ];
  for (const { title, p0, p1, during, settles, pool, drained = false } of cases) {
    const rig = await setUp(p0, p1);
    let isBusy = during !== undefined;
    rig.start('z0', 'a', { inFlight: () => (isBusy ? 1 : 0) });
    await rig.clock.advance(10_000);
    if (during) {
      t.is((await rig.newestView()).get(EntityKind.Move, VM)?.state, MoveState.Draining, title);
      await during(rig);
      await rig.clock.advance(5_000);
      isBusy = false;
    }
    t.is(await rig.until(hasNoMoves, MINUTE_MS), settles, title);
    await rig.clock.advance(5_000);
    t.is((await rig.newestView()).poolOf(VM), pool, title);
    t.is(rig.platform.drains.has(VM), drained, title);
    t.deepEqual(findViolations(await rig.deltas()), [], title);
    await rig.close();
  }
});

const LENDING_POOL = { isSpare: true, minAvailable: 2 };
const BORROWING_POOL = { mayBorrow: true, minAvailable: 4 };

test('a pool below its budget borrows VMs and returns them after it recovers', async (t) => {
  const rig = new ControllerRig({ returnLentAfterMs: MINUTE_MS });
  await rig.load(
    fleetOf({ zones: 2, racksPerZone: 2, vmsPerRack: 2, pools: [LENDING_POOL, BORROWING_POOL] }),
  );
  rig.start('z0', 'a');
  rig.start('z1', 'b');
  await rig.clock.advance(20_000);
  for (const vm of ['z0r0v1', 'z1r0v1']) rig.unhealthyVms.set(vm, ProbeResult.Failed);
  const isLent = (view: ConfigView) => view.vmsOfPool('p1').length === 6 && hasNoMoves(view);
  t.true(await rig.until(isLent, MINUTE_MS));
  await rig.clock.advance(2 * MINUTE_MS);
  t.is((await rig.newestView()).vmsOfPool('p0').length, 2);
  rig.unhealthyVms.clear();
  const isHome = (view: ConfigView) => view.vmsOfPool('p1').length === 5 && hasNoMoves(view);
  // One VM more than the budget needs is kept, so that the next failure needs no loan.
  t.true(await rig.until(isHome, 5 * MINUTE_MS, 1_000));
  await rig.clock.advance(5 * MINUTE_MS);
  t.is((await rig.newestView()).vmsOfPool('p1').length, 5);
  t.deepEqual(findViolations(await rig.deltas()), []);
  await rig.close();
});

test('loans respect the rules of the lender and the borrower', (t) => {
  const cases: [Partial<Pool>, Partial<Pool>, number][] = [
    [LENDING_POOL, BORROWING_POOL, 2],
    [{ ...LENDING_POOL, minAvailable: 3 }, BORROWING_POOL, 1],
    [{ ...LENDING_POOL, maxAway: 0 }, BORROWING_POOL, 0],
    [LENDING_POOL, { ...BORROWING_POOL, mayBorrow: false }, 0],
    [{ ...LENDING_POOL, isSpare: false }, BORROWING_POOL, 0],
    [LENDING_POOL, { ...BORROWING_POOL, minAvailable: 2 }, 0],
  ];
  for (const [lender, borrower, expected] of cases) {
    const view = new MemoryView();
    view.apply(fleetOf({ zones: 1, racksPerZone: 4, vmsPerRack: 2, pools: [lender, borrower] }));
    const failed = ['z0r0v1', 'z0r1v1'];
    view.apply(
      failed.map((id) => ({
        kind: EntityKind.VmStatus,
        id,
        value: { id, state: VmState.Failed },
      })),
    );
    const lent = planLoans(view, 'z0', new Set());
    t.is(lent.length, expected);
    view.apply(lent);
    t.is(planLoans(view, 'z0', new Set()).length, 0, 'moves in progress count as completed');
  }
});

test('a drain that a paused holder orders too late is cancelled', async (t) => {
  const rig = new ControllerRig();
  await rig.load(fleetOf({ zones: 1, racksPerZone: 1, vmsPerRack: 4, pools: [{}] }));
  const late = rig.start('z0', 'a', {
    faultOf: ({ name }: PlatformCall) =>
      name === 'pools.drain' ? CallFault.Pause : CallFault.None,
    pauseMs: MINUTE_MS,
  });
  await rig.clock.advance(1_000);
  const order = late.platform.pools.drain(VM);
  await rig.clock.advance(2 * MINUTE_MS);
  await order;
  t.true(rig.platform.drains.has(VM));
  await rig.clock.advance(3 * MINUTE_MS);
  t.false(rig.platform.drains.has(VM));
  await rig.close();
});
