import { createHash } from 'node:crypto';
import type { ChangeSet, ConfigDelta } from './types.js';

/** Start of the hash chain, for the empty history. */
export const EMPTY_HASH = '0'.repeat(64);

/** JSON with sorted keys, because the table service may return keys in a different order. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, field: unknown) => {
    if (typeof field !== 'object' || field === null || Array.isArray(field)) return field;
    const entries = Object.entries(field);
    return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/** Next hash of the chain over all deltas, in hexadecimal. */
export function chainHash(previous: string, delta: ConfigDelta): string {
  return sha256(previous + canonicalJson(delta));
}

/**
 * Digest of the author and changes of a change set, in hexadecimal. Distinguishes a retried change
 * set from a different one under the same change id.
 */
export function changeSetDigest(changeSet: ChangeSet): string {
  return sha256(canonicalJson({ author: changeSet.author, changes: changeSet.changes }));
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
