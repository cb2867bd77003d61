import { request } from 'undici';
import type { Outcome } from '../src/peers/index.js';
import { parseOutcome } from '../testbed/index.js';

/** Result of one caller request. */
export interface CallResult {
  requestId: string;
  outcome: Outcome | undefined;
  status: number;
  /** Whether the status is 200 and body and header name the same request id. */
  isComplete: boolean;
  elapsedMs: number;
}

interface BackendBody {
  requestId?: string;
  ran?: number;
}

/** Sends one request and checks that the response is complete and belongs to it. */
export async function callService(
  url: string,
  service: string,
  path: string,
  headers: Record<string, string> = {},
): Promise<CallResult> {
  const startMs = performance.now();
  try {
    const res = await request(`${url}/v1/services/${service}${path}`, {
      method: headers['request-id'] === undefined ? 'GET' : 'POST',
      headers: { team: 'league', ...headers },
      headersTimeout: 30_000,
      bodyTimeout: 30_000,
    });
    const text = await res.body.text();
    const requestId = String(res.headers['request-id'] ?? '');
    const body = text === '' ? {} : (JSON.parse(text) as BackendBody);
    return {
      requestId,
      outcome: parseOutcome(res.headers.outcome),
      status: res.statusCode,
      isComplete: res.statusCode === 200 && body.requestId === requestId,
      elapsedMs: performance.now() - startMs,
    };
  } catch {
    // The connection failed, for example because the entry process was killed.
    return {
      requestId: headers['request-id'] ?? '',
      outcome: undefined,
      status: 0,
      isComplete: false,
      elapsedMs: performance.now() - startMs,
    };
  }
}

/** Generates a steady load of requests until it is stopped. */
export class CallerLoad {
  readonly results: CallResult[] = [];
  #isStopped = false;
  readonly #tasks: Promise<void>[] = [];

  /**
   * Starts callers that each send their requests one after another.
   *
   * @param urls - returns the URLs of the caller listeners; requests go to them in round-robin order
   */
  start(urls: () => readonly string[], service: string, path: string, callers: number): void {
    for (let i = 0; i < callers; i++) this.#tasks.push(this.#run(urls, service, path, i));
  }

  async #run(
    urls: () => readonly string[],
    service: string,
    path: string,
    offset: number,
  ): Promise<void> {
    for (let requestNumber = offset; !this.#isStopped; requestNumber++) {
      const currentUrls = urls();
      const url = currentUrls[requestNumber % currentUrls.length] ?? '';
      const result = await callService(url, service, path);
      this.results.push(result);
      // Back off briefly after a refusal or a failed connection.
      if (!result.isComplete) await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#tasks);
  }
}

export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
