import { request } from 'undici';
import { Outcome } from '../src/peers/index.js';
import { expectedAnswer, RequestHistory, type ObservedEnd } from '../src/testing/index.js';
import type { Deployment, TestEntry } from './deployment.js';
import { parseOutcome } from './outcomes.js';

const ANSWER_TIMEOUT_MS = 60_000;

/** Sends caller requests to real entry processes and records their outcomes and runs. */
export class RecordedCallers {
  readonly history = new RequestHistory({ now: () => performance.now() });
  readonly #deployment: Deployment;
  readonly #recordedRuns = new Map<string, number>();

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Requests a new request id from an entry process. */
  async issueId(entry: TestEntry): Promise<string> {
    const res = await request(`${entry.callerUrl}/v1/request-ids`, {
      method: 'POST',
      headers: { team: 'league' },
    });
    const { requestIds } = (await res.body.json()) as { requestIds: string[] };
    return requestIds[0] ?? '';
  }

  /** Sends one attempt of a non-idempotent request and records its outcome. */
  async send(entry: TestEntry, requestId: string, path: string): Promise<ObservedEnd> {
    const record = this.history.startAttempt(requestId, false);
    const end = await this.#attempt(entry, requestId, path);
    await this.#recordRuns(requestId);
    record(end);
    return end;
  }

  async #attempt(entry: TestEntry, requestId: string, path: string): Promise<ObservedEnd> {
    try {
      const res = await request(`${entry.callerUrl}/v1/services/motions${path}`, {
        method: 'POST',
        headers: { team: 'league', 'request-id': requestId },
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
      });
      const text = await res.body.text();
      const outcome = parseOutcome(res.headers.outcome) ?? Outcome.Unknown;
      if (outcome !== Outcome.Answered) return { outcome };
      const isMatching = (JSON.parse(text) as { requestId?: string }).requestId === requestId;
      return { outcome, body: isMatching ? expectedAnswer(requestId) : text };
    } catch {
      return { outcome: 'closed' };
    }
  }

  /** Records the runs that the backend servers have counted since the last call. */
  async #recordRuns(requestId: string): Promise<void> {
    let runs = 0;
    for (const vm of this.#deployment.vms) {
      const url = this.#deployment.backendUrl(vm);
      const path = `runs?id=${encodeURIComponent(requestId)}`;
      const counted = await this.#deployment.callControl<{ runs: Record<string, number> }>(
        url,
        path,
      );
      runs += counted.runs[requestId] ?? 0;
    }
    const recorded = this.#recordedRuns.get(requestId) ?? 0;
    for (let i = recorded; i < runs; i++) this.history.recordRun(requestId);
    this.#recordedRuns.set(requestId, runs);
  }
}
