import { isDeepStrictEqual } from 'node:util';
import type { ConfigSnapshot, EntityChange } from '../configuration/index.js';
import { INVENTORY_LISTS } from './readInventory.js';
import type { Inventory } from './types.js';

/** One line of a difference, for people. */
export interface InventoryDifference {
  change: EntityChange;
  /** `+` for new, `-` for removed, `~` for changed. */
  sign: '+' | '-' | '~';
  /** Changed fields as `field: old -> new`. */
  fields: string[];
}

/**
 * Compares an inventory with the configuration in force.
 *
 * @param current - configuration in force
 * @param wanted - inventory to apply; entities that it lacks are removed
 */
export function diffInventory(current: ConfigSnapshot, wanted: Inventory): InventoryDifference[] {
  return INVENTORY_LISTS.flatMap(({ kind, key }) => {
    const before = new Map(current.entities[kind].map((entity) => [entity.id, entity]));
    const after = new Map(wanted[key].map((entity) => [entity.id, entity]));
    const removed = [...before.keys()]
      .filter((id) => !after.has(id))
      .map((id): InventoryDifference => ({ change: { kind, id }, sign: '-', fields: [] }));
    const upserts = [...after.values()].flatMap((entity): InventoryDifference[] => {
      const old = before.get(entity.id);
      if (old && isDeepStrictEqual(old, entity)) return [];
      const change = { kind, id: entity.id, value: entity } as EntityChange;
      return [{ change, sign: old ? '~' : '+', fields: old ? changedFields(old, entity) : [] }];
    });
    return [...removed, ...upserts];
  });
}

function changedFields(before: object, after: object): string[] {
  const old = before as Record<string, unknown>;
  const fresh = after as Record<string, unknown>;
  return [...new Set([...Object.keys(old), ...Object.keys(fresh)])]
    .filter((field) => !isDeepStrictEqual(old[field], fresh[field]))
    .map((field) => `${field}: ${JSON.stringify(old[field])} -> ${JSON.stringify(fresh[field])}`);
}

/** Formats a difference as one line. */
export function formatDifference({ change, sign, fields }: InventoryDifference): string {
  const detail = fields.length > 0 ? ` (${fields.join(', ')})` : '';
  return `${sign} ${change.kind} ${change.id}${detail}`;
}
