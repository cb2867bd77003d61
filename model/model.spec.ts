import test from 'ava';
import { specifications } from './index.js';

for (const entry of specifications) {
  // Guards against a protocol change that violates an invariant in some reachable state.
  test(`${entry.id}: all invariants hold in every reachable state`, (t) => {
    t.deepEqual(entry.explore().violations, []);
  });

  // Guards against an invariant that cannot fail and an exploration that misses violations.
  for (const variant of entry.faultyVariants) {
    test(`${entry.id}: the faulty variant ${variant.id} violates ${variant.violates}`, (t) => {
      const { violations } = entry.explore(variant.id);
      t.true(violations.some(({ invariant }) => invariant === variant.violates));
    });
  }
}
