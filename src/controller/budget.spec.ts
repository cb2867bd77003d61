import fc from 'fast-check';
import test from 'ava';
import {
  EntityKind,
  MoveState,
  StopState,
  VmState,
  type ConfigView,
  type EntityChange,
  type Pool,
} from '../configuration/index.js';
import { fleetOf } from '../testing/controllerRig.js';
import { MemoryView } from '../testing/memoryView.js';
import { AwayReason, Budget, BudgetRule, countPool } from './index.js';

const SEED = 20_261;
const NO_ZONES: ReadonlySet<string> = new Set();

const status = (id: string, state: VmState): EntityChange => ({
  kind: EntityKind.VmStatus,
  id,
  value: { id, state },
});
const stop = (id: string, state = StopState.Draining): EntityChange => ({
  kind: EntityKind.Stop,
  id,
  value: { id, wave: 'w', state },
});
const move = (id: string, state: MoveState): EntityChange => ({
  kind: EntityKind.Move,
  id,
  value: { id, from: 'p0', to: 'p1', state },
});

/** Two zones with two racks of two VMs in pool p0. */
function viewOf(pool: Partial<Pool>, changes: EntityChange[] = [], minAvailableSlots = 0) {
  const view = new MemoryView();
  const shape = { zones: 2, racksPerZone: 2, vmsPerRack: 2, pools: [pool], minAvailableSlots };
  view.apply([...fleetOf(shape), ...changes]);
  return view;
}

test('a VM with one or several reasons counts as away once', (t) => {
  const cases: [EntityChange[], AwayReason][] = [
    [[status('z0r0v0', VmState.Failed)], AwayReason.Failed],
    [[status('z0r0v0', VmState.Leaving)], AwayReason.Leaving],
    [[status('z0r0v0', VmState.Unreachable)], AwayReason.Unreachable],
    ...Object.values(StopState).map((state): [EntityChange[], AwayReason] => [
      [stop('z0r0v0', state)],
      AwayReason.Stop,
    ]),
    [[move('z0r0v0', MoveState.Draining)], AwayReason.Move],
    [[move('z0r0v0', MoveState.Drained)], AwayReason.Move],
    [[stop('z0r0v0'), status('z0r0v0', VmState.Leaving)], AwayReason.Leaving],
  ];
  for (const [changes, reason] of cases) {
    const count = countPool(viewOf({}, changes), 'p0', NO_ZONES);
    t.deepEqual([...count.byReason], [[reason, 1]]);
    t.is(count.slotsAway, 8);
  }
  const silent = countPool(viewOf({}, [stop('z1r0v0')]), 'p0', new Set(['z1']));
  t.is(silent.away, 4);
  t.is(silent.byReason.get(AwayReason.SilentZone), 3);
  t.is(countPool(viewOf({}, [move('z0r0v0', MoveState.Requested)]), 'p0', NO_ZONES).away, 0);
});

test('a permit is refused with the first rule that it would violate', (t) => {
  const away = [status('z0r0v0', VmState.Failed)];
  const cases: {
    pool: Partial<Pool>;
    slots?: number;
    vm: string;
    reserve?: number;
    refused?: [BudgetRule, string, number, number];
  }[] = [
    { pool: { maxAway: 2 }, vm: 'z0r0v1' },
    { pool: { maxAway: 1 }, vm: 'z0r0v1', refused: [BudgetRule.MaxAway, 'p0', 2, 1] },
    { pool: { maxAway: 2 }, vm: 'z1r0v1', reserve: 1, refused: [BudgetRule.MaxAway, 'p0', 3, 2] },
    { pool: { minAvailable: 7 }, vm: 'z1r0v0', refused: [BudgetRule.MinAvailable, 'p0', 6, 7] },
    { pool: { minAvailable: 6 }, vm: 'z1r0v0' },
    {
      pool: { maxAwayPerRack: 1 },
      vm: 'z0r0v1',
      refused: [BudgetRule.MaxAwayPerRack, 'z0/r0', 2, 1],
    },
    { pool: { maxAwayPerRack: 1 }, vm: 'z1r0v1' },
    { pool: { maxAwayPerZone: 1 }, vm: 'z0r1v0', refused: [BudgetRule.MaxAwayPerZone, 'z0', 2, 1] },
    { pool: { maxAwayPerZone: 1 }, vm: 'z1r1v0' },
    {
      pool: {},
      slots: 49,
      vm: 'z1r0v0',
      refused: [BudgetRule.MinAvailableSlots, 's-p0', 48, 49],
    },
    { pool: {}, slots: 48, vm: 'z1r0v0' },
    { pool: {}, vm: 'z0r0v0', refused: [BudgetRule.AlreadyAway, 'z0r0v0', 1, 0] },
    { pool: {}, vm: 'other', refused: [BudgetRule.Unknown, 'other', 0, 1] },
  ];
  for (const { pool, slots, vm, reserve, refused } of cases) {
    const budget = new Budget(viewOf(pool, away, slots), { silentZones: NO_ZONES, reserve });
    const permit = budget.check(vm);
    const found = permit.isErr && permit.error;
    if (!refused) t.true(permit.isOk);
    else t.deepEqual(found && [found.code, found.scope, found.found, found.allowed], refused);
  }
});

/** All permits that one decision grants over a shuffled fleet must together satisfy every rule. */
function grantsNeverViolate(grant: (budget: Budget, view: ConfigView, id: string) => boolean) {
  const limit = fc.integer({ min: 0, max: 8 });
  const pool = fc.record({
    minAvailable: limit,
    maxAway: limit,
    maxAwayPerRack: limit,
    maxAwayPerZone: limit,
  });
  const ids = viewOf({})
    .list(EntityKind.Vm)
    .map(({ id }) => id);
  const order = fc.shuffledSubarray(ids);
  return fc.property(pool, order, fc.integer({ min: 0, max: 64 }), (rules, vms, slots) => {
    const view = viewOf(rules, [], slots);
    const budget = new Budget(view, { silentZones: NO_ZONES });
    const granted = vms.filter((id) => grant(budget, view, id));
    view.apply(granted.map((id) => stop(id, StopState.Granted)));
    return (
      granted.length === 0 || !new Budget(view, { silentZones: NO_ZONES }).firstViolation('p0')
    );
  });
}

test('permits of one decision never violate a budget, but do when not counted together', (t) => {
  const correct = (budget: Budget, _: ConfigView, id: string) =>
    budget.grant(id, AwayReason.Stop).isOk;
  const uncounted = (_: Budget, view: ConfigView, id: string) =>
    new Budget(view, { silentZones: NO_ZONES }).check(id).isOk;
  t.notThrows(() => {
    fc.assert(grantsNeverViolate(correct), { seed: SEED, numRuns: 500 });
  });
  t.throws(() => {
    fc.assert(grantsNeverViolate(uncounted), { seed: SEED, numRuns: 500 });
  });
});

test('the slack equals the number of grants when racks and zones impose no limit', (t) => {
  const limit = fc.integer({ min: 0, max: 8 });
  const property = fc.property(limit, limit, fc.integer({ min: 0, max: 64 }), (min, max, slots) => {
    const view = viewOf({ minAvailable: min, maxAway: max }, [], slots);
    const budget = new Budget(view, { silentZones: NO_ZONES });
    const slack = budget.slack('p0');
    const ids = view.list(EntityKind.Vm).map(({ id }) => id);
    return ids.filter((id) => budget.grant(id, AwayReason.Move).isOk).length === slack;
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

/** Wraps a view and counts the calls of `get`. */
function countReads(view: MemoryView): { view: ConfigView; reads: () => number } {
  let reads = 0;
  const counted: ConfigView = {
    version: view.version,
    get: (kind, id) => {
      reads += 1;
      return view.get(kind, id);
    },
    list: (kind) => view.list(kind),
    poolOf: (vm) => view.poolOf(vm),
    vmsOfPool: (pool) => view.vmsOfPool(pool),
  };
  return { view: counted, reads: () => reads };
}

test('a permit check at the design size reads only the pool of the VM', (t) => {
  const pools = Array.from({ length: 92 }, () => ({ maxAway: 4 }));
  const fleet = new MemoryView();
  fleet.apply(fleetOf({ zones: 13, racksPerZone: 404, vmsPerRack: 4, pools }));
  t.is(fleet.list(EntityKind.Vm).length, 21_008);
  const { view, reads } = countReads(fleet);
  t.true(new Budget(view, { silentZones: NO_ZONES }).check('z3r7v1').isOk);
  t.true(reads() <= 4 * 229, `${reads()} reads`);
});
