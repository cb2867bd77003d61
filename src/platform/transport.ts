import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import { Pool } from 'undici';
import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { PlatformSettings } from './defaults.js';
import { PlatformError, PlatformErrorCode } from './types.js';

/** One HTTP request to the platform. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  headers: Record<string, string>;
  body?: Uint8Array | string;
}

/** The complete response to an {@link HttpCall}. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Sends a call. Fails with Unreachable if no byte was sent, otherwise with OutcomeUnknown. */
export type Send = (call: HttpCall) => Promise<Result<HttpResponse, PlatformError>>;

/**
 * Opens a connection pool to the platform.
 *
 * @param connections - maximum number of connections; each carries one call at a time
 */
export function openTransport(
  settings: PlatformSettings,
  clock: Clock,
  lifecycle: Lifecycle,
  connections: number,
): Send {
  const { origin } = new URL(settings.url);
  const pool = new Pool(origin, {
    connections,
    pipelining: 1,
    connect: { timeout: settings.connectTimeoutMs },
    // The timer in sendOnPool limits the duration of the whole call.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  lifecycle.own('platform connections', () => pool.destroy());
  return (call) => sendOnPool(pool, call, settings, clock);
}

function sendOnPool(
  pool: Pool,
  call: HttpCall,
  settings: PlatformSettings,
  clock: Clock,
): Promise<Result<HttpResponse, PlatformError>> {
  return new Promise((resolve) => {
    let isSent = false;
    let isSettled = false;
    let abort: ((err: Error) => void) | undefined;
    const response: HttpResponse = { status: 0, headers: {}, body: Buffer.alloc(0) };
    const chunks: Buffer[] = [];
    let receivedBytes = 0;

    const settle = (result: Result<HttpResponse, PlatformError>) => {
      if (isSettled) return;
      isSettled = true;
      timer.cancel();
      resolve(result);
    };
    const fail = (message: string, cause?: unknown) => {
      const code = isSent ? PlatformErrorCode.OutcomeUnknown : PlatformErrorCode.Unreachable;
      const text = `${call.method} ${call.path}: ${message}`;
      settle(Result.err(new PlatformError(code, text, cause)));
    };
    const failAndAbort = (message: string) => {
      fail(message);
      abort?.(new Error(message));
    };
    const timer = clock.setTimer(settings.callTimeoutMs, () => {
      failAndAbort(`no response within ${settings.callTimeoutMs} ms`);
    });

    pool.dispatch(
      { method: call.method, path: call.path, headers: call.headers, body: call.body ?? null },
      {
        // undici calls this immediately before it writes the request to a connected socket.
        onRequestStart: (controller) => {
          if (isSettled) {
            controller.abort(new Error('the call ended before it was sent'));
            return;
          }
          isSent = true;
          abort = (err) => {
            controller.abort(err);
          };
        },
        onResponseStart: (_controller, status, headers) => {
          response.status = status;
          response.headers = headers;
        },
        onResponseData: (_controller, chunk) => {
          receivedBytes += chunk.length;
          if (receivedBytes > settings.maxAnswerBytes) {
            failAndAbort(`the response is longer than ${settings.maxAnswerBytes} bytes`);
            return;
          }
          chunks.push(chunk);
        },
        onResponseEnd: () => {
          response.body = Buffer.concat(chunks);
          settle(Result.ok(response));
        },
        onResponseError: (_controller, err) => {
          fail(err.message, err);
        },
      },
    );
  });
}
