import { Result } from 'true-myth';
import {
  BackendError,
  BackendErrorCode,
  type BackendResponse,
  type BackendConnections,
  type BackendRequest,
} from '../backends/index.js';
import type { Clock } from '../clock/index.js';
import type { ProcessGate } from './processGate.js';
import { expectedAnswer, type RequestHistory } from './requestHistory.js';

/** Faults of one send, in the order of its steps. */
export enum SendFault {
  None = 'none',
  /** The connection cannot be established; nothing is written. */
  ConnectFailed = 'connect_failed',
  /** The backend server answers that it did not start the request. */
  NotStarted = 'not_started',
  /** The connection is lost after the write; the request never reaches the server. */
  LostBeforeRun = 'lost_before_run',
  /** The connection is lost after the write, and the server runs the request later. */
  LostThenRuns = 'lost_then_runs',
  /** The connection is lost after the request has run. */
  LostAfterRun = 'lost_after_run',
  /** The request has run, but its response never arrives. */
  NoAnswerAfterRun = 'silent_after_run',
  /** The response is incomplete. */
  Truncated = 'truncated',
  /** The response belongs to another request. */
  ResponseMismatch = 'crossed',
}

type SendResult = Result<BackendResponse, BackendError>;

/** Options for {@link FakeBackends}. */
export interface FakeBackendsOptions {
  /** Clock of the backend servers, which keeps running while the entry process is paused. */
  clock: Clock;
  gate: ProcessGate;
  history: RequestHistory;
  /** Chooses the fault of a send. */
  fault: (vm: string, req: BackendRequest) => SendFault;
  /** Time from the write to the run, and from the run to the response, in milliseconds. */
  stepMs: number;
}

/** Fake backend servers that record their runs, and the connections of an entry process to them. */
export class FakeBackends implements BackendConnections {
  readonly #options: FakeBackendsOptions;
  readonly #inFlight = new Map<string, number>();

  constructor(options: FakeBackendsOptions) {
    this.#options = options;
  }

  setExecutors(): void {
    // All VMs are reachable.
  }

  async send(vm: string, req: BackendRequest): Promise<SendResult> {
    this.#inFlight.set(vm, this.inFlight(vm) + 1);
    const { clock, gate } = this.#options;
    const sent = await gate.receive(
      new Promise<SendResult>((resolve) => {
        if (clock.now() >= req.deadline) {
          resolve(failure(BackendErrorCode.DeadlineBeforeSend, false));
          return;
        }
        clock.setTimer(req.deadline - clock.now(), () => {
          resolve(failure(BackendErrorCode.Timeout, true));
        });
        req.signal.addEventListener('abort', () => {
          resolve(failure(BackendErrorCode.Cancelled, true));
        });
        void this.#transmit(vm, req).then((result) => {
          if (result) resolve(result);
        });
      }),
    );
    this.#inFlight.set(vm, this.inFlight(vm) - 1);
    return sent;
  }

  inFlight(vm: string): number {
    return this.#inFlight.get(vm) ?? 0;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Simulates the steps of a send; returns undefined if no response ever arrives. */
  async #transmit(vm: string, req: BackendRequest): Promise<SendResult | undefined> {
    const { clock, history, stepMs } = this.#options;
    const tag = Buffer.from(req.body).toString('utf8');
    const fault = this.#options.fault(vm, req);
    if (fault === SendFault.ConnectFailed) return failure(BackendErrorCode.ConnectFailed, false);
    if (fault === SendFault.LostThenRuns) {
      clock.setTimer(stepMs * 2, () => {
        history.recordRun(tag);
      });
      return failure(BackendErrorCode.ConnectionLost, true);
    }
    await clock.sleep(stepMs);
    if (fault === SendFault.NotStarted) return failure(BackendErrorCode.NotStarted, false);
    if (fault === SendFault.LostBeforeRun) return failure(BackendErrorCode.ConnectionLost, true);
    history.recordRun(tag);
    await clock.sleep(stepMs);
    switch (fault) {
      case SendFault.LostAfterRun:
        return failure(BackendErrorCode.ConnectionLost, true);
      case SendFault.Truncated:
        return failure(BackendErrorCode.Truncated, true);
      case SendFault.ResponseMismatch:
        return failure(BackendErrorCode.ResponseMismatch, true);
      case SendFault.NoAnswerAfterRun:
        return undefined;
      default: {
        const body = Buffer.from(expectedAnswer(tag));
        return Result.ok({ status: 200, headers: { 'content-type': 'text/plain' }, body });
      }
    }
  }
}

function failure(code: BackendErrorCode, mayHaveRun: boolean): SendResult {
  return Result.err(new BackendError(code, `injected fault: ${code}`, mayHaveRun));
}
