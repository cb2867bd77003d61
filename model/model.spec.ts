import test from 'ava';
import { specifications } from './index.js';

for (const entry of specifications) {
  // Guards against a change of the protocol that breaks a promise in some reachable state.
  test(`${entry.id}: all invariants hold in every reachable state`, (t) => {
    t.deepEqual(entry.explore().violations, []);
  });

  // Guards against an invariant or exploration that cannot fail.
  for (const variant of entry.faultyVariants) {
    test(`${entry.id}: the wrong variant ${variant.id} breaks ${variant.violates}`, (t) => {
      const { violations } = entry.explore(variant.id);
      t.true(violations.some(({ invariant }) => invariant === variant.violates));
    });
  }
}
