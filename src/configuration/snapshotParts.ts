import { emptyEntities, entityKinds } from './entities.js';
import type { ConfigSnapshot, EntityKind } from './types.js';

/** Maximum number of entities per part; a full part of VMs takes about 0.5 MB as JSON. */
export const ENTITIES_PER_PART = 2_000;

/**
 * Splits a snapshot into parts that fit into table rows and peer frames. Every part has the version
 * of the snapshot. An empty snapshot gives one part.
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

/** Joins the parts of one snapshot, which must be in order. */
export function joinSnapshot(version: number, parts: readonly ConfigSnapshot[]): ConfigSnapshot {
  const entities = emptyEntities() as Record<EntityKind, unknown[]>;
  for (const kind of entityKinds)
    entities[kind] = parts.flatMap((part) => part.entities[kind] as unknown[]);
  return { version, entities: entities as ConfigSnapshot['entities'] };
}
