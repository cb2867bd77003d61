import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import { Pool } from 'undici';
import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { PlatformSettings } from './defaults.js';
import { PlatformError, PlatformErrorCode } from './types.js';

/** One HTTP call. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  headers: Record<string, string>;
  body?: Uint8Array | string;
}

/** The whole answer to an {@link HttpCall}. */
export interface HttpAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Sends calls. Fails with Unreachable only when no byte was sent, else with OutcomeUnknown. */
export type Send = (call: HttpCall) => Promise<Result<HttpAnswer, PlatformError>>;

/**
 * Opens a connection pool to the platform.
 *
 * @param connections - most connections; each carries one call at a time
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
    // The call timer below bounds the whole call.
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
): Promise<Result<HttpAnswer, PlatformError>> {
  return new Promise((resolve) => {
    let sent = false;
    let ended = false;
    let abort: ((err: Error) => void) | undefined;
    const answer: HttpAnswer = { status: 0, headers: {}, body: Buffer.alloc(0) };
    const chunks: Buffer[] = [];
    let length = 0;

    const end = (result: Result<HttpAnswer, PlatformError>) => {
      if (ended) return;
      ended = true;
      timer.cancel();
      resolve(result);
    };
    const fail = (message: string, cause?: unknown) => {
      const code = sent ? PlatformErrorCode.OutcomeUnknown : PlatformErrorCode.Unreachable;
      const text = `${call.method} ${call.path}: ${message}`;
      end(Result.err(new PlatformError(code, text, cause)));
    };
    const giveUp = (message: string) => {
      fail(message);
      abort?.(new Error(message));
    };
    const timer = clock.setTimer(settings.callTimeoutMs, () => {
      giveUp(`no answer within ${settings.callTimeoutMs} ms`);
    });

    pool.dispatch(
      { method: call.method, path: call.path, headers: call.headers, body: call.body ?? null },
      {
        // undici calls this immediately before it writes the request to a connected socket.
        onRequestStart: (controller) => {
          if (ended) {
            controller.abort(new Error('the call ended before it was sent'));
            return;
          }
          sent = true;
          abort = (err) => {
            controller.abort(err);
          };
        },
        onResponseStart: (_controller, status, headers) => {
          answer.status = status;
          answer.headers = headers;
        },
        onResponseData: (_controller, chunk) => {
          length += chunk.length;
          if (length > settings.maxAnswerBytes) {
            giveUp(`the answer is longer than ${settings.maxAnswerBytes} bytes`);
            return;
          }
          chunks.push(chunk);
        },
        onResponseEnd: () => {
          answer.body = Buffer.concat(chunks);
          end(Result.ok(answer));
        },
        onResponseError: (_controller, err) => {
          fail(err.message, err);
        },
      },
    );
  });
}
