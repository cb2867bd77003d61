import { BackendError, BackendErrorCode, BackendHeader, type BackendRequest } from './types.js';

/** Why a response must not be returned to the caller. */
export interface InvalidResponse {
  code: BackendErrorCode.ResponseMismatch | BackendErrorCode.Oversize | BackendErrorCode.Truncated;
  message: string;
}

const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Joins the values of repeated headers and converts header names to lower case. */
export function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return flat;
}

/**
 * Returns an error if the backend server confirms that it did not start the request: status 503 or
 * 421 with the request id in `Not-Started`. A 503 with `Retry-After` means that the backend server
 * is busy; a 503 without it that it is leaving, and a 421 that it serves another pool.
 */
export function notStartedError(
  requestId: string,
  status: number,
  headers: Record<string, string>,
): BackendError | undefined {
  if (status !== MISDIRECTED && status !== UNAVAILABLE) return undefined;
  if (headers[BackendHeader.NotStarted] !== requestId) return undefined;
  const isBusy = status === UNAVAILABLE && headers['retry-after'] !== undefined;
  const code = isBusy ? BackendErrorCode.NotStarted : BackendErrorCode.Leaving;
  return new BackendError(
    code,
    `status ${status}: backend server did not start request ${requestId}`,
    false,
  );
}

/** Checks that a response belongs to the request and declares no body above the limit. */
export function checkResponseHeaders(
  req: BackendRequest,
  headers: Record<string, string>,
  maxAnswerBytes: number,
): InvalidResponse | undefined {
  const echoedId = headers[BackendHeader.RequestId];
  if (echoedId !== req.requestId) {
    const foundId = echoedId ?? 'missing';
    return {
      code: BackendErrorCode.ResponseMismatch,
      message: `request-id of the response is ${foundId}`,
    };
  }
  if (req.method !== 'HEAD' && Number(headers['content-length'] ?? 0) > maxAnswerBytes) {
    return {
      code: BackendErrorCode.Oversize,
      message: `response body exceeds ${maxAnswerBytes} bytes`,
    };
  }
  return undefined;
}

/**
 * Checks that a response is complete. A response without a length that is delimited only by the end
 * of its connection may have been cut off and counts as truncated.
 */
export function checkResponseComplete(
  req: BackendRequest,
  status: number,
  headers: Record<string, string>,
  receivedBytes: number,
): InvalidResponse | undefined {
  const code = BackendErrorCode.Truncated;
  if (status === 0) return { code, message: 'response ended before its headers' };
  if (req.method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) return undefined;
  const contentLength = headers['content-length'];
  if (contentLength === undefined) {
    const isChunked = headers['transfer-encoding']?.toLowerCase().endsWith('chunked') ?? false;
    return isChunked
      ? undefined
      : { code, message: 'response has neither Content-Length nor chunked encoding' };
  }
  if (Number(contentLength) === receivedBytes) return undefined;
  return {
    code,
    message: `response body truncated: got ${receivedBytes} of ${contentLength} bytes`,
  };
}
