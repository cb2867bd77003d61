import { createHash } from 'node:crypto';

/** Length of a digest in hexadecimal. */
const DIGEST_TEXT = /^[0-9a-f]{64}$/;

/** SHA-256 digest of a key; text is encoded as UTF-8. */
export function digestOfKey(key: string | Uint8Array): Buffer {
  return createHash('sha256').update(key).digest();
}

/** Decodes a digest in hexadecimal; returns undefined for any other text. */
export function decodeDigest(text: string): Buffer | undefined {
  return DIGEST_TEXT.test(text) ? Buffer.from(text, 'hex') : undefined;
}
