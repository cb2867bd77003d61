/** Digits of a version in a row key, zero-padded so that key order equals version order. */
const VERSION_DIGITS = 12;

/** Key of the row with the latest version. */
export const HEAD_KEY = 'config/head';

/** Key prefix of the version rows. */
export const VERSION_PREFIX = 'config/version/';

/** Key of the version row, which holds the delta of a version. */
export function versionKey(version: number): string {
  return VERSION_PREFIX + padVersion(version);
}

/** Key of the row that records the outcome of a change id. */
export function changeKey(changeId: string): string {
  return `config/change/${changeId}`;
}

/** Key prefix of the rows of one snapshot. */
export function snapshotPrefix(version: number): string {
  return `config/snapshot/${padVersion(version)}/`;
}

/** Key of the row with one part of a snapshot. */
export function snapshotPartKey(version: number, part: number): string {
  return snapshotPrefix(version) + String(part).padStart(4, '0');
}

function padVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
