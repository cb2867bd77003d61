import { emptyEntities, entityKinds } from './entities.js';
import type { ConfigSnapshot, EntityKind } from './types.js';

/** Entities per part; a part of VMs takes about half a megabyte as JSON. */
export const ENTITIES_PER_PART = 2_000;

/**
 * Splits a snapshot into parts that fit into table rows and peer frames. Every part carries the
 * version; there is at least one part.
 */
export function splitSnapshot(
  snapshot: ConfigSnapshot,
  entitiesPerPart = ENTITIES_PER_PART,
): ConfigSnapshot[] {
  const parts: ConfigSnapshot[] = [];
  let remainingCapacity = 0;
  const startPart = () => {
    parts.push({ version: snapshot.version, entities: emptyEntities() });
    remainingCapacity = entitiesPerPart;
  };
  startPart();
  for (const kind of entityKinds) {
    const entities = snapshot.entities[kind] as unknown[];
    for (let start = 0; start < entities.length;) {
      if (remainingCapacity === 0) startPart();
      const slice = entities.slice(start, start + remainingCapacity);
      (parts.at(-1)?.entities as Record<EntityKind, unknown[]>)[kind] = slice;
      start += slice.length;
      remainingCapacity -= slice.length;
    }
  }
  return parts;
}

/** Puts the parts of one snapshot together, in order. */
export function joinSnapshot(version: number, parts: readonly ConfigSnapshot[]): ConfigSnapshot {
  const entities = emptyEntities() as Record<EntityKind, unknown[]>;
  for (const kind of entityKinds)
    entities[kind] = parts.flatMap((part) => part.entities[kind] as unknown[]);
  return { version, entities: entities as ConfigSnapshot['entities'] };
}
