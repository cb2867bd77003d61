import { Result } from 'true-myth';
import { Pool } from 'undici';
import type { Clock } from '../clock/index.js';
import type { Executor } from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Metrics } from '../metrics/index.js';
import type { BackendsSettings } from './defaults.js';
import { exchange, type ExchangeResult } from './exchange.js';
import {
  BackendError,
  BackendErrorCode,
  BackendHeader,
  type BackendConnections,
  type BackendRequest,
} from './types.js';

/** Options of {@link createBackendConnections}. */
export interface BackendConnectionsOptions {
  clock: Clock;
  metrics: Metrics;
  settings: BackendsSettings;
  /** Closes the connections when it is closed. */
  lifecycle: Lifecycle;
  /** Called when a request is passed to a connected socket of a VM. */
  onSend?: (vm: string) => void;
}

/** Connection pool of one executor. */
interface ExecutorPool {
  pool: Pool;
  executor: Executor;
  inFlight: number;
}

/** Headers of a single connection, which are not forwarded; the HTTP client sets its own. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Creates the connections to the executors that this process owns. */
export function createBackendConnections(options: BackendConnectionsOptions): BackendConnections {
  const connections = new ExecutorConnections(options);
  options.lifecycle.own('backend connections', () => connections.close());
  return connections;
}

class ExecutorConnections implements BackendConnections {
  readonly #options: BackendConnectionsOptions;
  readonly #pools = new Map<string, ExecutorPool>();
  /** Pending closes of the pools of removed executors that still have requests in flight. */
  readonly #closingPools = new Set<Promise<void>>();
  readonly #inFlight = new Map<string, number>();
  readonly #countAttempt: (code: string) => void;
  #isClosed = false;

  constructor(options: BackendConnectionsOptions) {
    this.#options = options;
    const attempts = options.metrics.counter(
      'backend_attempts_total',
      'Attempts at backend servers, by outcome',
      ['end'],
    );
    this.#countAttempt = (code) => {
      attempts.inc({ end: code });
    };
  }

  setExecutors(executors: ReadonlyMap<string, Executor>): void {
    if (this.#isClosed) return;
    for (const [vm, entry] of [...this.#pools]) {
      if (!isSameExecutor(entry.executor, executors.get(vm))) this.#closePool(vm, entry);
    }
    for (const [vm, executor] of executors) {
      if (!this.#pools.has(vm)) this.#pools.set(vm, this.#openPool(executor));
    }
  }

  inFlight(vm: string): number {
    return this.#inFlight.get(vm) ?? 0;
  }

  async send(vm: string, req: BackendRequest): Promise<ExchangeResult> {
    const entry = this.#pools.get(vm);
    const refusal = this.#precheck(vm, entry, req);
    if (refusal || !entry) return this.#countResult(Result.err(refusal ?? unknownVmError(vm)));
    this.#changeInFlight(vm, entry, 1);
    try {
      const { clock, settings, onSend } = this.#options;
      const result = await exchange(entry.pool, req, {
        vm,
        clock,
        maxAnswerBytes: settings.maxAnswerBytes,
        onSend: () => onSend?.(vm),
        headers: buildRequestHeaders(req, req.deadline - clock.now()),
      });
      return this.#countResult(result);
    } finally {
      this.#changeInFlight(vm, entry, -1);
    }
  }

  /** Waits for the requests in flight, then closes all connections. */
  async close(): Promise<void> {
    this.#isClosed = true;
    for (const [vm, entry] of [...this.#pools]) this.#closePool(vm, entry);
    await Promise.all(this.#closingPools);
  }

  #precheck(
    vm: string,
    entry: ExecutorPool | undefined,
    req: BackendRequest,
  ): BackendError | undefined {
    if (!entry) return unknownVmError(vm);
    if (req.signal.aborted) {
      return new BackendError(BackendErrorCode.Cancelled, 'cancelled by the caller', false);
    }
    if (req.deadline <= this.#options.clock.now()) {
      const message = 'deadline exceeded before sending';
      return new BackendError(BackendErrorCode.DeadlineBeforeSend, message, false);
    }
    if (entry.inFlight >= entry.executor.connections) {
      const message = `all ${entry.executor.connections} connections to ${vm} are in use`;
      return new BackendError(BackendErrorCode.NoConnection, message, false);
    }
    return undefined;
  }

  #countResult(result: ExchangeResult): ExchangeResult {
    this.#countAttempt(result.isOk ? 'answered' : result.error.code);
    return result;
  }

  #openPool(executor: Executor): ExecutorPool {
    const { connectTimeoutMs, keepAliveMs, maxHeaderBytes } = this.#options.settings;
    const pool = new Pool(originOf(executor), {
      connections: executor.connections,
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: keepAliveMs,
      maxHeaderSize: maxHeaderBytes,
    });
    return { pool, executor, inFlight: 0 };
  }

  #closePool(vm: string, entry: ExecutorPool): void {
    this.#pools.delete(vm);
    const closing = entry.pool.close().finally(() => {
      this.#closingPools.delete(closing);
    });
    this.#closingPools.add(closing);
  }

  #changeInFlight(vm: string, entry: ExecutorPool, delta: number): void {
    entry.inFlight += delta;
    const count = this.inFlight(vm) + delta;
    if (count === 0) this.#inFlight.delete(vm);
    else this.#inFlight.set(vm, count);
  }
}

function unknownVmError(vm: string): BackendError {
  return new BackendError(BackendErrorCode.UnknownVm, `no executor for VM ${vm}`, false);
}

/** URL origin of an executor; IPv6 addresses are put in brackets. */
export function originOf(executor: Executor): string {
  const host = executor.host.includes(':') ? `[${executor.host}]` : executor.host;
  return `http://${host}:${executor.port}`;
}

function isSameExecutor(a: Executor, b: Executor | undefined): boolean {
  return a.host === b?.host && a.port === b.port && a.connections === b.connections;
}

function buildRequestHeaders(req: BackendRequest, remainingMs: number): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    const lowerCase = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lowerCase)) headers[lowerCase] = value;
  }
  headers[BackendHeader.RequestId] = req.requestId;
  headers[BackendHeader.RequestIncarnation] = req.incarnation;
  headers[BackendHeader.Pool] = req.pool;
  headers[BackendHeader.TimeoutMs] = String(Math.floor(remainingMs));
  return headers;
}
