import type { IncomingMessage } from 'node:http';
import { Result } from 'true-myth';
import type { RequestsSettings } from './defaults.js';
import { CallerHeader, headersForBackend } from './headers.js';
import { RequestReason } from './reasons.js';
import type { AttemptIdentity } from './refusals.js';
import { RequestError, type CallerRequest } from './types.js';

/** HTTP methods that callers may use. */
export const CALLER_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'DELETE'] as const;

/** Values of the Request-Class header. */
enum RequestClass {
  Normal = 'normal',
  Urgent = 'urgent',
}

/** The part of a request that is known before its body is received. */
export type CallerRequestHead = Omit<CallerRequest, 'body' | 'signal'>;

const TEAM_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

/**
 * Parses the request line and headers of a request to a service.
 *
 * @param arrivedAt - monotonic time in milliseconds at which the timeout starts
 * @param service - service name from the path
 * @param path - path and query relative to the service
 */
export function parseHead(
  req: IncomingMessage,
  settings: RequestsSettings,
  arrivedAt: number,
  service: string,
  path: string,
): Result<CallerRequestHead, RequestError> {
  const method = req.method ?? '';
  const team = parseTeam(req);
  if (team.isErr) return Result.err(team.error);
  const requestClass = getHeader(req, CallerHeader.RequestClass) ?? RequestClass.Normal;
  if (!isOneOf(requestClass, Object.values(RequestClass))) {
    return invalidHeader(CallerHeader.RequestClass, requestClass, 'normal or urgent');
  }
  const idempotentText = getHeader(req, CallerHeader.Idempotent);
  if (idempotentText !== undefined && !isOneOf(idempotentText, ['true', 'false'])) {
    return invalidHeader(CallerHeader.Idempotent, idempotentText, 'true or false');
  }
  const timeoutMs = parsePositiveInt(req, CallerHeader.TimeoutMs, settings.maxTimeoutMs);
  if (timeoutMs.isErr) return Result.err(timeoutMs.error);
  const attempt = parsePositiveInt(req, CallerHeader.Attempt, Number.MAX_SAFE_INTEGER);
  if (attempt.isErr) return Result.err(attempt.error);
  const identity = readAttemptIdentity(req);
  const key = identity.idempotencyKey;
  if (key !== undefined && (key === '' || key.length > settings.maxKeyLength)) {
    const expected = `1 to ${settings.maxKeyLength} characters`;
    return invalidHeader(CallerHeader.IdempotencyKey, `${key.length} characters`, expected);
  }
  return Result.ok({
    ...identity,
    ...{ service, team: team.value, method, path, headers: headersForBackend(req.headers) },
    urgent: requestClass === RequestClass.Urgent,
    deadline: arrivedAt + (timeoutMs.value ?? settings.defaultTimeoutMs),
  });
}

/** Reads the fields that identify an attempt from the headers. Malformed values are tolerated. */
export function readAttemptIdentity(req: IncomingMessage): AttemptIdentity {
  const declaredIdempotent = getHeader(req, CallerHeader.Idempotent);
  return {
    requestId: getHeader(req, CallerHeader.RequestId),
    idempotencyKey: getHeader(req, CallerHeader.IdempotencyKey),
    idempotent:
      declaredIdempotent === undefined ? req.method !== 'POST' : declaredIdempotent === 'true',
    firstAttempt: getHeader(req, CallerHeader.Attempt) === '1',
  };
}

/** Parses the Team header. */
export function parseTeam(req: IncomingMessage): Result<string, RequestError> {
  const team = getHeader(req, CallerHeader.Team);
  if (team !== undefined && TEAM_PATTERN.test(team)) return Result.ok(team);
  return invalidHeader(CallerHeader.Team, team ?? 'nothing', 'a team id');
}

function parsePositiveInt(
  req: IncomingMessage,
  name: CallerHeader,
  max: number,
): Result<number | undefined, RequestError> {
  const text = getHeader(req, name);
  if (text === undefined) return Result.ok(undefined);
  const value = /^[0-9]{1,15}$/.test(text) ? Number(text) : 0;
  if (value >= 1 && value <= max) return Result.ok(value);
  return invalidHeader(name, text, `a whole number from 1 to ${max}`);
}

function getHeader(req: IncomingMessage, name: CallerHeader): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function isOneOf<T extends string>(text: string, values: readonly T[]): text is T {
  return (values as readonly string[]).includes(text);
}

function invalidHeader(
  name: CallerHeader,
  found: string,
  expected: string,
): Result<never, RequestError> {
  const message = `header ${name}: found ${found}, expected ${expected}`;
  return Result.err(new RequestError(RequestReason.BadRequest, message));
}
