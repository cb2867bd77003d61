import { createHash } from 'node:crypto';
import type { ChangeSet, ConfigDelta } from './types.js';

/** Hash of the empty history. */
export const EMPTY_HASH = '0'.repeat(64);

/** JSON with sorted keys; the table service may return keys in another order than written. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, field: unknown) => {
    if (typeof field !== 'object' || field === null || Array.isArray(field)) return field;
    const entries = Object.entries(field);
    return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/** Next link of the hash chain over all deltas, hex. */
export function chainHash(previous: string, delta: ConfigDelta): string {
  return sha256(previous + canonicalJson(delta));
}

/** Digest of what a change set changes, hex; tells a repeated change id from a reused one. */
export function changeSetDigest(changeSet: ChangeSet): string {
  return sha256(canonicalJson({ author: changeSet.author, changes: changeSet.changes }));
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
