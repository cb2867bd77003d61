import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Compares a bearer token with the expected one in constant time. Both are hashed first: the
 * digests have equal length, so the comparison does not leak the length of the token.
 *
 * @param header - value of the Authorization header
 *
 * @param token - the expected token
 */
export function isAuthorized(header: string | undefined, token: string): boolean {
  const [scheme, provided] = (header ?? '').split(' ', 2);
  if (scheme?.toLowerCase() !== 'bearer' || provided === undefined) return false;
  return timingSafeEqual(digest(provided), digest(token));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
