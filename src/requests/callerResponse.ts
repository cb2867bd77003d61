import type { ServerResponse } from 'node:http';
import { Outcome } from '../peers/index.js';
import { CallerHeader, headersForCaller } from './headers.js';
import { reasonRegistry, RequestReason } from './reasons.js';
import { RequestError, type CallerAnswer } from './types.js';

/** Body of a refusal. */
export interface RefusalBody {
  outcome: Outcome;
  reason: RequestReason;
  message: string;
  /** Suggested retry delay in milliseconds; 0 if retrying the same request cannot succeed. */
  retryAfterMs: number;
}

interface RenderedRefusal {
  status: number;
  headers: Record<string, string>;
  body: string;
}

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Renders a refusal as an HTTP response. */
export function renderRefusal(err: RequestError, requestId: string): RenderedRefusal {
  const { outcome, code: reason, message, retryAfterMs } = err;
  const refusal: RefusalBody = { outcome, reason, message, retryAfterMs };
  const body = JSON.stringify(refusal);
  const headers: Record<string, string> = {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(body)),
    'Request-Id': err.requestId ?? requestId,
    Outcome: outcome,
  };
  if (retryAfterMs > 0) headers['Retry-After'] = String(Math.ceil(retryAfterMs / 1_000));
  return { status: reasonRegistry[reason].status, headers, body };
}

export function sendRefusal(res: ServerResponse, err: RequestError, requestId: string): void {
  const { status, headers, body } = renderRefusal(err, requestId);
  res.writeHead(status, headers);
  res.end(body);
}

/** Renders a refusal as raw HTTP for a connection whose request could not be parsed. */
export function renderRawRefusal(err: RequestError, requestId: string): string {
  const { status, headers, body } = renderRefusal(err, requestId);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const head = [`HTTP/1.1 ${status} ${err.code}`, ...lines, 'Connection: close'];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** Returns the reason why a response cannot be sent to a caller; undefined if it can. */
export function checkAnswer(answer: CallerAnswer): RequestError | undefined {
  const { status, requestId } = answer;
  if (Number.isInteger(status) && status >= MIN_FINAL_STATUS && status <= MAX_STATUS) {
    return undefined;
  }
  const message = `status ${status} from the backend server is not a final HTTP status`;
  return new RequestError(RequestReason.AnswerRejected, message, { requestId });
}

/** Writes a complete response with its Content-Length. */
export function sendAnswer(res: ServerResponse, method: string, answer: CallerAnswer): void {
  const { status, body, requestId } = answer;
  res.statusCode = status;
  for (const [name, value] of Object.entries(headersForCaller(answer.headers))) {
    res.setHeader(name, value);
  }
  res.setHeader(CallerHeader.RequestId, requestId);
  res.setHeader(CallerHeader.Outcome, Outcome.Answered);
  const length = method === 'HEAD' ? answer.headers['content-length'] : String(body.byteLength);
  const hasBody = status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED;
  if (hasBody && length !== undefined) res.setHeader('Content-Length', length);
  res.end(hasBody && method !== 'HEAD' ? body : undefined);
}
