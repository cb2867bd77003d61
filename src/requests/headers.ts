import type { IncomingHttpHeaders } from 'node:http';
import { BackendHeader } from '../backends/index.js';

/** Headers of the callers' API, in lower case. */
export enum CallerHeader {
  Team = 'team',
  RequestClass = 'request-class',
  TimeoutMs = 'request-timeout-ms',
  Idempotent = 'idempotent',
  RequestId = 'request-id',
  IdempotencyKey = 'idempotency-key',
  /** Number of this attempt, starting at 1; 1 declares that no earlier attempt was made. */
  Attempt = 'attempt',
  Outcome = 'outcome',
  RetryAfter = 'retry-after',
}

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/** Headers that each hop sets itself. */
const SET_PER_HOP = ['content-length', 'expect', 'host'];

const STRIPPED_FROM_REQUESTS = new Set<string>([
  ...HOP_BY_HOP,
  ...SET_PER_HOP,
  ...Object.values(BackendHeader),
  CallerHeader.RequestClass,
  CallerHeader.Attempt,
  CallerHeader.Outcome,
]);

const STRIPPED_FROM_ANSWERS = new Set<string>([
  ...HOP_BY_HOP,
  ...SET_PER_HOP,
  ...Object.values(BackendHeader),
  CallerHeader.Outcome,
]);

/** Returns the headers of a caller request that are forwarded to backend servers. */
export function headersForBackend(headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, STRIPPED_FROM_REQUESTS);
}

/** Returns the headers of a backend response that are forwarded to the caller. */
export function headersForCaller(headers: Record<string, string>): Record<string, string> {
  return filterHeaders(headers, STRIPPED_FROM_ANSWERS);
}

function filterHeaders(
  headers: IncomingHttpHeaders,
  stripped: ReadonlySet<string>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  const listedInConnection = connectionTokens(headers);
  for (const [rawName, value] of Object.entries(headers)) {
    const name = rawName.toLowerCase();
    if (value === undefined || stripped.has(name) || listedInConnection.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}

/** Names of the additional hop-by-hop headers that the Connection header lists. */
function connectionTokens(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const tokens = (headers.connection ?? '').split(',');
  return new Set(tokens.map((token) => token.trim().toLowerCase()));
}
