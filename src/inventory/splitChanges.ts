import { EntityKind, type ConfigSnapshot, type EntityChange } from '../configuration/index.js';

/**
 * Splits changes that are too many for one change set. A pool, its services and its VMs stay
 * together, so that the rules between them hold at each step; teams come first.
 *
 * @param current - configuration in force, which tells the pool of what is removed
 * @param maxChanges - most changes in one part; a pool that alone has more makes a larger part
 * @returns the parts in the order in which to apply them; one part when everything fits
 */
export function splitChanges(
  current: ConfigSnapshot,
  changes: readonly EntityChange[],
  maxChanges: number,
): EntityChange[][] {
  if (changes.length <= maxChanges) return [[...changes]];
  const poolOf = createPoolLookup(current);
  const groups = new Map<string, EntityChange[]>();
  for (const change of changes) {
    const group = poolOf(change);
    const members = groups.get(group) ?? [];
    members.push(change);
    groups.set(group, members);
  }
  const parts: EntityChange[][] = [];
  const ordered = [...groups.entries()].sort(([a], [b]) => (a < b ? -1 : 1));
  for (const [, members] of ordered) {
    const last = parts.at(-1);
    if (last && last.length + members.length <= maxChanges) last.push(...members);
    else parts.push([...members]);
  }
  return parts;
}

/** The group without a pool sorts before every pool id. */
const NO_POOL = '';

function createPoolLookup(current: ConfigSnapshot): (change: EntityChange) => string {
  const { entities } = current;
  const known = new Map<string, string>([
    ...entities[EntityKind.Vm].map(({ id, pool }) => [`vm/${id}`, pool] as const),
    ...entities[EntityKind.Service].map(({ id, pool }) => [`service/${id}`, pool] as const),
  ]);
  return (change) => {
    switch (change.kind) {
      case EntityKind.Pool:
        return change.id;
      case EntityKind.Vm:
      case EntityKind.Service:
        return change.value?.pool ?? known.get(`${change.kind}/${change.id}`) ?? NO_POOL;
      default:
        return NO_POOL;
    }
  };
}
