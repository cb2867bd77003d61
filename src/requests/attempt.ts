import type { Result } from 'true-myth';
import type { BackendResponse } from '../backends/index.js';
import type { Service } from '../configuration/index.js';
import type { RequestError } from './types.js';

/** A validated request with the request id under which it runs. */
export interface RoutedRequest {
  requestId: string;
  service: Service;
  team: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  urgent: boolean;
  idempotent: boolean;
  /** Monotonic time in milliseconds. */
  deadline: number;
  /** Aborted when no caller waits for the response any more. */
  signal: AbortSignal;
  /** VMs on which an earlier attempt failed. */
  avoidVms: Set<string>;
  /** Members through which an earlier attempt failed. */
  avoidMembers: Set<string>;
}

/** Result of one attempt. */
export type AttemptResult = Result<BackendResponse, RequestError>;

/** Makes one attempt to run a request. */
export type Attempt = (req: RoutedRequest) => Promise<AttemptResult>;
