import { createHash } from 'node:crypto';

/** The fields of a request that identify its content. */
export interface RequestContent {
  service: string;
  method: string;
  path: string;
  body: Uint8Array;
}

/** Computes the digest of a request's content, to which its id or key is bound. */
export function fingerprintOf({ service, method, path, body }: RequestContent): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([service, method, path]));
  hash.update(body);
  return hash.digest('base64');
}

const VARIABLE_SEGMENT = /^(?:[0-9]+|[0-9a-fA-F-]{16,})$/;
const MAX_SEGMENTS = 4;

/** Returns the key for run time statistics: the method and the path without variable segments. */
export function operationOf(method: string, path: string): string {
  const segments = (path.split('?', 1)[0] ?? '').split('/').slice(1, 1 + MAX_SEGMENTS);
  const template = segments.map((part) => (VARIABLE_SEGMENT.test(part) ? ':id' : part));
  return `${method} /${template.join('/')}`;
}
