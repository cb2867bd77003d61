import { BackendError, BackendErrorCode, BackendHeader, type BackendRequest } from './types.js';

/** Why an answer must not be passed on. */
export interface AnswerFault {
  code: BackendErrorCode.ResponseMismatch | BackendErrorCode.Oversize | BackendErrorCode.Truncated;
  message: string;
}

const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Joins repeated headers; names are lower case. */
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
 * Recognizes the proof that a request was not started: 503 or 421 with `Not-Started` naming it.
 * A 503 with `Retry-After` means that the backend server is busy; without it, that it leaves.
 */
export function provesNotStarted(
  requestId: string,
  status: number,
  headers: Record<string, string>,
): BackendError | undefined {
  if (status !== MISDIRECTED && status !== UNAVAILABLE) return undefined;
  if (headers[BackendHeader.NotStarted] !== requestId) return undefined;
  const isBusy = status === UNAVAILABLE && headers['retry-after'] !== undefined;
  const code = isBusy ? BackendErrorCode.NotStarted : BackendErrorCode.Leaving;
  return new BackendError(code, `status ${status}: ${requestId} was not started`, false);
}

/** Checks what the headers of an answer show. */
export function checkAnswerStart(
  req: BackendRequest,
  headers: Record<string, string>,
  maxAnswerBytes: number,
): AnswerFault | undefined {
  const echoed = headers[BackendHeader.RequestId];
  if (echoed !== req.requestId) {
    const found = echoed ?? 'no id';
    return { code: BackendErrorCode.ResponseMismatch, message: `the answer names ${found}` };
  }
  if (req.method !== 'HEAD' && Number(headers['content-length'] ?? 0) > maxAnswerBytes) {
    return {
      code: BackendErrorCode.Oversize,
      message: `the answer exceeds ${maxAnswerBytes} bytes`,
    };
  }
  return undefined;
}

/**
 * Checks that an answer is whole. An answer that ends with its connection, without a length, may
 * have been cut and counts as truncated.
 */
export function checkAnswerEnd(
  req: BackendRequest,
  status: number,
  headers: Record<string, string>,
  receivedBytes: number,
): AnswerFault | undefined {
  const code = BackendErrorCode.Truncated;
  if (status === 0) return { code, message: 'the answer has no headers' };
  if (req.method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) return undefined;
  const declared = headers['content-length'];
  if (declared === undefined) {
    const isChunked = headers['transfer-encoding']?.toLowerCase().endsWith('chunked') ?? false;
    return isChunked ? undefined : { code, message: 'the answer has neither length nor chunks' };
  }
  if (Number(declared) === receivedBytes) return undefined;
  return { code, message: `the answer has ${receivedBytes} of ${declared} bytes` };
}
