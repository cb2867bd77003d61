/** Digits of a version in a row key, so that key order is version order. */
const VERSION_DIGITS = 12;

/** Key of the head row. */
export const HEAD_KEY = 'config/head';

/** Prefix of the version rows. */
export const VERSION_PREFIX = 'config/version/';

/** Key of the row with the delta of a version. */
export function versionKey(version: number): string {
  return VERSION_PREFIX + padVersion(version);
}

/** Key of the row that records the outcome of a change id. */
export function changeKey(changeId: string): string {
  return `config/change/${changeId}`;
}

/** Prefix of the rows of one snapshot. */
export function snapshotPrefix(version: number): string {
  return `config/snapshot/${padVersion(version)}/`;
}

/** Key of one part of a snapshot. */
export function snapshotPartKey(version: number, part: number): string {
  return snapshotPrefix(version) + String(part).padStart(4, '0');
}

function padVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
