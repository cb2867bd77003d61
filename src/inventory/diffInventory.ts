import { isDeepStrictEqual } from 'node:util';
import type { ConfigSnapshot, EntityChange } from '../configuration/index.js';
import { INVENTORY_LISTS } from './readInventory.js';
import type { Inventory } from './types.js';

/** One entity that an inventory adds, changes or removes. */
export interface InventoryDifference {
  change: EntityChange;
  /** `+` for added, `-` for removed, `~` for changed. */
  sign: '+' | '-' | '~';
  /** Changed fields, formatted as `field: old -> new`; empty unless the entity was changed. */
  fields: string[];
}

/**
 * Lists the changes that turn the current configuration into that of an inventory.
 *
 * @param current - current configuration
 * @param wanted - inventory to apply; entities missing from it are removed
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
  const updated = after as Record<string, unknown>;
  return [...new Set([...Object.keys(old), ...Object.keys(updated)])]
    .filter((field) => !isDeepStrictEqual(old[field], updated[field]))
    .map((field) => `${field}: ${JSON.stringify(old[field])} -> ${JSON.stringify(updated[field])}`);
}

/** Formats a difference as one line of text. */
export function formatDifference({ change, sign, fields }: InventoryDifference): string {
  const detail = fields.length > 0 ? ` (${fields.join(', ')})` : '';
  return `${sign} ${change.kind} ${change.id}${detail}`;
}
