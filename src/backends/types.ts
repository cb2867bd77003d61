import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { Executor } from '../configuration/types.js';

/** Names of the HTTP headers that are exchanged with backend servers. */
export enum BackendHeader {
  RequestId = 'request-id',
  RequestIncarnation = 'request-incarnation',
  Pool = 'pool',
  TimeoutMs = 'request-timeout-ms',
  /** Response header with the id of a request that the backend server did not start. */
  NotStarted = 'not-started',
}

export interface BackendRequest {
  requestId: string;
  incarnation: string;
  pool: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** Monotonic time in milliseconds; checked again immediately before sending. */
  deadline: number;
  signal: AbortSignal;
}

/** A response that was received completely. */
export interface BackendResponse {
  status: number;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** Why an attempt at a backend server failed. */
export enum BackendErrorCode {
  ConnectFailed = 'connect_failed',
  /** All connections of the executor are in use. */
  NoConnection = 'no_connection',
  /** The deadline passed before sending. */
  DeadlineBeforeSend = 'deadline_before_send',
  /** The backend server confirmed that it did not start the request. */
  NotStarted = 'not_started',
  /** Like NotStarted, and the backend server is leaving or serves another pool. */
  Leaving = 'leaving',
  /** No complete response before the deadline. */
  Timeout = 'timeout',
  ConnectionLost = 'connection_lost',
  Truncated = 'truncated',
  Oversize = 'oversize',
  /** The response belongs to another request. */
  ResponseMismatch = 'crossed',
  /** The caller cancelled the request, before or after it was sent. */
  Cancelled = 'cancelled',
  UnknownVm = 'unknown_vm',
  /** The request cannot be written as HTTP, for example because a header contains a line break. */
  InvalidRequest = 'invalid_request',
}

export class BackendError extends BaseError<BackendErrorCode> {
  /** False only when the request certainly did not run. */
  readonly mayHaveRun: boolean;

  constructor(code: BackendErrorCode, message: string, mayHaveRun: boolean, cause?: unknown) {
    super(code, message, cause);
    this.mayHaveRun = mayHaveRun;
  }
}

/** Connections to the executors that this process owns. */
export interface BackendConnections {
  /** Sets the executors to keep connections to. Requests in flight to removed executors finish. */
  setExecutors(executors: ReadonlyMap<string, Executor>): void;
  send(vm: string, req: BackendRequest): Promise<Result<BackendResponse, BackendError>>;
  /** Number of requests in flight on a VM, including those to removed executors. */
  inFlight(vm: string): number;
  close(): Promise<void>;
}

/** Health of executors, derived from attempts and probes. */
export interface BackendHealth {
  /** Records the end of an attempt: its error, or the status of its response. */
  recordEnd(vm: string, err: BackendError | undefined, status: number, ranMs: number): void;
  /**
   * Relative share of new work in (0, 1], or 0 while ejected. Below 1 during slow start and after
   * recent failures.
   */
  weight(vm: string): number;
}
