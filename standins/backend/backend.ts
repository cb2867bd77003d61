import { setTimeout as delay } from 'node:timers/promises';
import type { HttpResponse, Call, Handler } from '../shared/server.js';

/** States of the backend server. */
export enum BackendState {
  InService = 'in_service',
  Draining = 'draining',
  Rebooting = 'rebooting',
}

/** Settings of {@link createBackend}. */
export interface BackendOptions {
  slots: number;
  /** Pool that the server belongs to; undefined accepts requests for any pool. */
  pool?: string;
}

/** Maximum number of request ids whose runs are counted; the oldest are evicted first. */
const MAX_TRACKED_REQUEST_IDS = 500_000;
const DEFAULT_REBOOT_MS = 1_000;

/**
 * Creates the handler of a backend server with a fixed number of slots.
 *
 * `GET|POST /work?ms=<run time>&bytes=<response size>` runs a request. `/control/` paths: `status`,
 * `runs[?id=]`, `drain`, `cancel-drain`, `reboot` ({ms}), `pool` ({pool}).
 */
export function createBackend(options: BackendOptions): Handler {
  const runs = new Map<string, number>();
  let { pool } = options;
  let state = BackendState.InService;
  let active = 0;
  let refused = 0;
  /** Number of requests that a reboot interrupted. */
  let cutOff = 0;
  let rebootController = new AbortController();

  /**
   * Refuses a call before it starts. With `retryAfterS` the refusal is temporary; without it the
   * request does not belong on this backend server, or the server is draining.
   */
  function refuse(call: Call, status: number, message: string, retryAfterS?: number): HttpResponse {
    refused += 1;
    const headers: Record<string, string> = { 'not-started': call.header('request-id') ?? '' };
    if (retryAfterS !== undefined) headers['retry-after'] = String(retryAfterS);
    return { status, headers, body: { message, state } };
  }

  function countRun(id: string): void {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    if (runs.size <= MAX_TRACKED_REQUEST_IDS) return;
    const oldest = runs.keys().next().value;
    if (oldest !== undefined) runs.delete(oldest);
  }

  async function handleWork(call: Call): Promise<HttpResponse | undefined> {
    const requestedPool = call.header('pool');
    if (state === BackendState.Rebooting) return undefined;
    if (pool !== undefined && requestedPool !== undefined && requestedPool !== pool) {
      return refuse(call, 421, `this backend server serves pool ${pool}`);
    }
    if (state === BackendState.Draining) return refuse(call, 503, 'draining');
    if (active >= options.slots) return refuse(call, 503, 'all slots are in use', 1);
    const id = call.header('request-id') ?? 'none';
    countRun(id);
    active += 1;
    const rebootSignal = rebootController.signal;
    try {
      await delay(Number(call.query.get('ms') ?? 0), undefined, { signal: rebootSignal });
    } catch {
      cutOff += 1;
      return undefined;
    } finally {
      active -= 1;
    }
    const bytes = Number(call.query.get('bytes') ?? 0);
    const body = bytes > 0 ? Buffer.alloc(bytes, id) : { requestId: id, ran: runs.get(id) };
    return { status: 200, body };
  }

  function reboot(ms: number): void {
    state = BackendState.Rebooting;
    rebootController.abort();
    rebootController = new AbortController();
    setTimeout(() => {
      state = BackendState.InService;
    }, ms).unref();
  }

  function handleControl(call: Call, name: string | undefined): HttpResponse {
    switch (name) {
      case 'status':
        return {
          status: 200,
          body: { state, active, refused, cutOff, pool, slots: options.slots },
        };
      case 'runs': {
        const id = call.query.get('id');
        const counts = id === null ? runs : new Map([[id, runs.get(id) ?? 0]]);
        return { status: 200, body: { runs: Object.fromEntries(counts) } };
      }
      case 'drain':
        if (state === BackendState.InService) state = BackendState.Draining;
        return { status: 200, body: { state, active } };
      case 'cancel-drain':
        if (state === BackendState.Draining) state = BackendState.InService;
        return { status: 200, body: { state, active } };
      case 'reboot':
        reboot(call.body.length > 0 ? (call.json() as { ms: number }).ms : DEFAULT_REBOOT_MS);
        return { status: 200, body: { state, active } };
      case 'pool':
        pool = (call.json() as { pool?: string }).pool;
        return { status: 200, body: { pool } };
      default:
        return { status: 404, body: { message: `unknown control endpoint ${name ?? ''}` } };
    }
  }

  return (call) => {
    const [first, second] = call.segments;
    if (first === 'control') return handleControl(call, second);
    if (first === 'health') {
      return state === BackendState.Rebooting
        ? undefined
        : { status: state === BackendState.InService ? 200 : 503, body: { state } };
    }
    if (first === 'work') return handleWork(call);
    return { status: 404, body: { message: `unknown path ${call.path}` } };
  };
}
