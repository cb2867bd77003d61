import { EntityKind, type ConfigSnapshot, type EntityChange } from '../configuration/index.js';

/**
 * Splits changes that exceed the size limit of one change set. A pool, its services and its VMs
 * stay in the same part, so that the rules between them hold after each part; teams come first.
 *
 * @param current - current configuration, used to find the pool of removed entities
 * @param maxChanges - limit of changes in one part; a pool with more gets a larger part of its own
 * @returns the parts in the order to apply them; a single part if all changes fit
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
    const groupChanges = groups.get(group) ?? [];
    groupChanges.push(change);
    groups.set(group, groupChanges);
  }
  const parts: EntityChange[][] = [];
  const ordered = [...groups.entries()].sort(([a], [b]) => (a < b ? -1 : 1));
  for (const [, groupChanges] of ordered) {
    const last = parts.at(-1);
    if (last && last.length + groupChanges.length <= maxChanges) last.push(...groupChanges);
    else parts.push([...groupChanges]);
  }
  return parts;
}

/** Group of changes that belong to no pool; the empty string sorts before every pool id. */
const NO_POOL = '';

function createPoolLookup(current: ConfigSnapshot): (change: EntityChange) => string {
  const { entities } = current;
  const currentPools = new Map<string, string>([
    ...entities[EntityKind.Vm].map(({ id, pool }) => [`vm/${id}`, pool] as const),
    ...entities[EntityKind.Service].map(({ id, pool }) => [`service/${id}`, pool] as const),
  ]);
  return (change) => {
    switch (change.kind) {
      case EntityKind.Pool:
        return change.id;
      case EntityKind.Vm:
      case EntityKind.Service:
        return change.value?.pool ?? currentPools.get(`${change.kind}/${change.id}`) ?? NO_POOL;
      default:
        return NO_POOL;
    }
  };
}
