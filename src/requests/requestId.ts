import type { MemberId } from '../peers/index.js';

/** Parts of a request id. */
export interface RequestIdParts {
  issuer: MemberId;
  counter: number;
}

const REQUEST_ID_PATTERN = /^([A-Za-z0-9._-]{1,128})\.([0-9a-f]{16})\.([1-9][0-9]{0,15})$/;

/** Formats a request id as `<issuer name>.<incarnation>.<counter>`. */
export function formatRequestId(issuer: MemberId, counter: number): string {
  return `${issuer.name}.${issuer.incarnation}.${counter}`;
}

/** Parses a request id; returns undefined if it is malformed. */
export function parseRequestId(id: string): RequestIdParts | undefined {
  const match = REQUEST_ID_PATTERN.exec(id);
  if (!match) return undefined;
  const [, name = '', incarnation = '', digits = ''] = match;
  const counter = Number(digits);
  return Number.isSafeInteger(counter) ? { issuer: { name, incarnation }, counter } : undefined;
}

/** Whether two ids name the same incarnation of the same member. */
export function isSameMember(a: MemberId, b: MemberId): boolean {
  return a.name === b.name && a.incarnation === b.incarnation;
}
