import { createHash } from 'node:crypto';

/** The parts of a request that identify its content. */
export interface RequestContent {
  service: string;
  method: string;
  path: string;
  body: Uint8Array;
}

/** Digest of a request's content; an id or key is bound to one content. */
export function fingerprintOf({ service, method, path, body }: RequestContent): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([service, method, path]));
  hash.update(body);
  return hash.digest('base64');
}

const VARIABLE_SEGMENT = /^(?:[0-9]+|[0-9a-fA-F-]{16,})$/;
const MAX_SEGMENTS = 4;

/** Key under which run times are learned: the method and the path without its variable parts. */
export function operationOf(method: string, path: string): string {
  const segments = (path.split('?', 1)[0] ?? '').split('/').slice(1, 1 + MAX_SEGMENTS);
  const template = segments.map((part) => (VARIABLE_SEGMENT.test(part) ? ':id' : part));
  return `${method} /${template.join('/')}`;
}
