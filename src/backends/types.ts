import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { Executor } from '../configuration/types.js';

/** Request headers towards backend servers. */
export enum BackendHeader {
  RequestId = 'request-id',
  RequestIncarnation = 'request-incarnation',
  Pool = 'pool',
  TimeoutMs = 'request-timeout-ms',
  /** Answer header by which a backend server proves that it did not start the request. */
  NotStarted = 'not-started',
}

/** A request for a backend server. */
export interface BackendRequest {
  requestId: string;
  incarnation: string;
  pool: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** Monotonic time in milliseconds; checked immediately before sending. */
  deadline: number;
  signal: AbortSignal;
}

/** The whole answer of a backend server. */
export interface BackendResponse {
  status: number;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** Why an attempt at a backend server gave no answer. */
export enum BackendErrorCode {
  ConnectFailed = 'connect_failed',
  /** All connections of the executor are in use. */
  NoConnection = 'no_connection',
  /** The deadline passed before sending. */
  DeadlineBeforeSend = 'deadline_before_send',
  /** The backend server proved that it did not start the request. */
  NotStarted = 'not_started',
  /** As NotStarted, and the backend server said that it is leaving or serves another pool. */
  Leaving = 'leaving',
  /** No whole answer within the deadline. */
  Timeout = 'timeout',
  ConnectionLost = 'connection_lost',
  Truncated = 'truncated',
  Oversize = 'oversize',
  /** The answer belongs to another request. */
  ResponseMismatch = 'crossed',
  /** The caller went away after sending. */
  Cancelled = 'cancelled',
  UnknownVm = 'unknown_vm',
  /** The request cannot be written as HTTP, such as for a header with a line break. */
  InvalidRequest = 'invalid_request',
}

/** An attempt at a backend server failed. */
export class BackendError extends BaseError<BackendErrorCode> {
  /** False only when the request certainly did not start. */
  readonly mayHaveRun: boolean;

  constructor(code: BackendErrorCode, message: string, mayHaveRun: boolean, cause?: unknown) {
    super(code, message, cause);
    this.mayHaveRun = mayHaveRun;
  }
}

/** Connections to the executors that this process owns. */
export interface BackendConnections {
  /** Sets the executors to keep connections for. In-flight requests of removed ones finish. */
  setExecutors(executors: ReadonlyMap<string, Executor>): void;
  send(vm: string, req: BackendRequest): Promise<Result<BackendResponse, BackendError>>;
  /** Requests in flight on a VM, including those of executors that were removed. */
  inFlight(vm: string): number;
  close(): Promise<void>;
}

/** Health of executors, learned from attempts and probes. */
export interface BackendHealth {
  /** Records the end of an attempt. */
  recordEnd(vm: string, err: BackendError | undefined, status: number, ranMs: number): void;
  /** Relative share of new work in (0, 1]; 0 when ejected. Below 1 during slow start. */
  weight(vm: string): number;
}
