import test from 'ava';
import fc from 'fast-check';
import { ChangedView, EntityKind, EntityState, VmState, type EntityChange } from './index.js';
import { changeSetOf, sampleFleet } from '../testing/sampleFleet.js';

const SEED = 20261204;
const POOLS = ['p0', 'p1', 'p2'];
const IDS = ['p0-v0', 'p0-v1', 'p1-v0', 'p1-v1', 'new-vm'];

function baseState(): EntityState {
  const state = new EntityState();
  state.apply(changeSetOf(sampleFleet(), 'base'), 1);
  const moved = { id: 'p0-v1', pool: 'p1' };
  const failed = { id: 'p1-v1', state: VmState.Failed };
  const changes: EntityChange[] = [
    { kind: EntityKind.Assignment, id: moved.id, value: moved },
    { kind: EntityKind.VmStatus, id: failed.id, value: failed },
  ];
  state.apply({ changeId: 'base-2', author: 'operator', changes }, 2);
  return state;
}

const hardware = { zone: 'z0', rack: 'r', cores: 1, memoryMib: 1, accelerators: 0 };

const change: fc.Arbitrary<EntityChange> = fc
  .tuple(
    fc.constantFrom(EntityKind.Vm, EntityKind.Assignment, EntityKind.VmStatus, EntityKind.Pool),
    fc.constantFrom(...IDS),
    fc.constantFrom(...POOLS),
    fc.boolean(),
  )
  .map(([kind, vm, pool, isDeleted]): EntityChange => {
    const id = kind === EntityKind.Pool ? pool : vm;
    if (isDeleted) return { kind, id };
    if (kind === EntityKind.Vm) return { kind, id, value: { id, pool, ...hardware } };
    if (kind === EntityKind.Assignment) return { kind, id, value: { id, pool } };
    if (kind === EntityKind.VmStatus) return { kind, id, value: { id, state: VmState.Leaving } };
    const limits = { minAvailable: 1, maxAway: 1, maxAwayPerRack: 1, maxAwayPerZone: 1 };
    return { kind, id, value: { id, ...limits, isSpare: false, mayBorrow: false } };
  });

type Reader = Pick<ChangedView, 'version' | 'list' | 'get' | 'poolOf' | 'vmsOfPool'>;

/** Everything that can be read from a view, with lists sorted by id. */
function contents(view: Reader) {
  const sorted = (entities: readonly { id: string }[]) =>
    [...entities].sort((a, b) => (a.id < b.id ? -1 : 1));
  return {
    version: view.version,
    lists: Object.values(EntityKind).map((kind) => sorted(view.list(kind))),
    pools: IDS.map((id) => view.poolOf(id)),
    vms: IDS.map((id) => view.get(EntityKind.Vm, id)),
    byPool: POOLS.map((pool) => sorted(view.vmsOfPool(pool))),
  };
}

// Guards against validating a change set on a view that differs from its actual effect.
test(`a changed view equals the state after the change set is applied (seed ${SEED})`, (t) => {
  let differences = 0;
  fc.assert(
    fc.property(fc.array(change, { maxLength: 6 }), (changes) => {
      const base = baseState();
      const changeSet = { changeId: 'c', author: 'operator', changes };
      const before = contents(base);
      const changed = contents(new ChangedView(base, changeSet));
      t.deepEqual(contents(base), before);
      base.apply(changeSet, 3);
      t.deepEqual(changed, contents(base));
      if (JSON.stringify(before.lists) !== JSON.stringify(changed.lists)) differences += 1;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.true(differences > 100);
});

// Guards against a comparison that misses a VM which remains in its previous pool.
test('the comparison detects a difference of one assignment', (t) => {
  const value = { id: 'p0-v0', pool: 'p1' };
  const changes: EntityChange[] = [{ kind: EntityKind.Assignment, id: value.id, value }];
  const view = new ChangedView(baseState(), { changeId: 'c', author: 'operator', changes });
  t.notDeepEqual(contents(view).byPool, contents(baseState()).byPool);
});
