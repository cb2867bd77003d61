import test from 'ava';
import { emptySnapshot, EntityKind, EntityState, checkChangeSet } from '../configuration/index.js';
import { changeSetOf, sampleFleet } from '../testing/sampleFleet.js';
import { splitChanges } from './index.js';

const fleet = sampleFleet({ zones: 3, services: 12, vmsPerPool: 9 });
const { changes } = changeSetOf(fleet, 'all');

const cases = [
  { title: 'what fits stays one change set', max: changes.length, parts: 1 },
  { title: 'pools are kept whole', max: 30, parts: 6 },
  { title: 'a pool that is larger than a part makes a part of its own', max: 5, parts: 12 },
];

// Guards against a large inventory that is refused, or that breaks a rule between two of its parts.
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

test('a removed VM goes with the pool that it was in', (t) => {
  const removed = fleet.entities.vm.map(({ id }) => ({ kind: EntityKind.Vm as const, id }));
  const parts = splitChanges(fleet, removed, 9);
  t.is(parts.length, 12);
});
