import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Compares a bearer token with the expected one in constant time. Hashing first makes both sides
 * the same length, so that the comparison does not reveal the length either.
 *
 * @param header - value of the Authorization header
 * @param token - the expected token
 */
export function isAuthorized(header: string | undefined, token: string): boolean {
  const [scheme, given] = (header ?? '').split(' ', 2);
  if (scheme?.toLowerCase() !== 'bearer' || given === undefined) return false;
  return timingSafeEqual(digest(given), digest(token));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
