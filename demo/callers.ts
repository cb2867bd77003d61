import { request } from 'undici';
import type { Outcome } from '../src/peers/index.js';
import { parseOutcome } from '../testbed/index.js';

/** What one caller request ended with. */
export interface CallResult {
  requestId: string;
  outcome: Outcome | undefined;
  status: number;
  isComplete: boolean;
  elapsedMs: number;
}

interface BackendBody {
  requestId?: string;
  ran?: number;
}

/** Sends one request and checks that the answer is whole and its own. */
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
    // The connection broke, as when the entry process was killed.
    return {
      requestId: headers['request-id'] ?? '',
      outcome: undefined,
      status: 0,
      isComplete: false,
      elapsedMs: performance.now() - startMs,
    };
  }
}

/** A steady load of callers that is stopped by the demonstration. */
export class CallerLoad {
  readonly results: CallResult[] = [];
  #isStopped = false;
  readonly #tasks: Promise<void>[] = [];

  /**
   * Starts callers that each send one request after the other.
   *
   * @param urls - caller listeners; each request goes to the next one, as a balancer does
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
      // Callers come back a little later after a refusal or a broken connection.
      if (!result.isComplete) await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#tasks);
  }
}

/** A percentile of a list of numbers. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
