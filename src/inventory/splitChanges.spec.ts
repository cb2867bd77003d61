import test from 'ava';
import { emptySnapshot, EntityKind, EntityState, checkChangeSet } from '../configuration/index.js';
import { changeSetOf, sampleFleet } from '../testing/sampleFleet.js';
import { splitChanges } from './index.js';

const fleet = sampleFleet({ zones: 3, services: 12, vmsPerPool: 9 });
const { changes } = changeSetOf(fleet, 'all');

const cases = [
  { title: 'changes within the limit stay in one part', max: changes.length, parts: 1 },
  { title: 'the changes of a pool stay in one part', max: 30, parts: 6 },
  { title: 'a pool with more changes than the limit gets a part of its own', max: 5, parts: 12 },
];

// A large inventory must be accepted, and its rules must hold after each part is applied.
for (const { title, max, parts: count } of cases) {
  test(title, (t) => {
    const parts = splitChanges(emptySnapshot(), changes, max);
    t.is(parts.length, count);
    t.is(parts.flat().length, changes.length);
    const state = new EntityState();
    for (const [index, part] of parts.entries()) {
      const changeSet = { changeId: `part-${index}`, author: 'a', changes: part };
      t.deepEqual(checkChangeSet(state, changeSet), []);
      state.apply(changeSet, index + 1);
    }
  });
}

test('the removal of a VM is grouped with the pool that the VM was in', (t) => {
  const removed = fleet.entities.vm.map(({ id }) => ({ kind: EntityKind.Vm as const, id }));
  const parts = splitChanges(fleet, removed, 9);
  t.is(parts.length, 12);
});
