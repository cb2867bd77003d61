import { Result } from 'true-myth';
import {
  BackendErrorCode,
  type BackendResponse,
  type BackendConnections,
  type BackendError,
  type BackendHealth,
} from '../backends/index.js';
import type { Clock } from '../clock/index.js';
import type { ConfigView } from '../configuration/index.js';
import { messageOf } from '../errors/index.js';
import { EventName, LeavingSign, type EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import { Outcome } from '../peers/index.js';
import {
  AdmissionReason,
  type AdmissionError,
  type Scheduler,
  type SlotGrant,
} from '../scheduling/index.js';
import type { Attempt, AttemptResult, RoutedRequest } from './attempt.js';
import { operationOf } from './fingerprint.js';
import { RequestReason } from './reasons.js';
import { parseRequestId } from './requestId.js';
import { RequestError } from './types.js';

/** Parameters of {@link createLocalAttempt}. */
export interface LocalAttemptDeps {
  clock: Clock;
  view: ConfigView;
  events: EventBus;
  logger: Logger;
  scheduler: Scheduler;
  backends: BackendConnections;
  health: BackendHealth;
}

/** Creates the attempt that runs a request on an executor of this process. */
export function createLocalAttempt(deps: LocalAttemptDeps): Attempt {
  return async (req) => {
    const expired = checkNotExpired(deps.clock, req);
    if (expired) return Result.err(expired);
    const submitted = await submit(deps.scheduler, req);
    if (submitted.isErr) return Result.err(fromAdmissionError(submitted.error));
    const grant = submitted.value;
    try {
      return await sendWithGrant(deps, req, grant);
    } finally {
      grant.release();
    }
  };
}

async function submit(
  scheduler: Scheduler,
  req: RoutedRequest,
): Promise<Result<SlotGrant, AdmissionError>> {
  const item = {
    requestId: req.requestId,
    service: req.service.id,
    team: req.team,
    urgent: req.urgent,
    operation: operationOf(req.method, req.path),
    deadline: req.deadline,
    signal: req.signal,
  };
  if (req.avoidVms.size === 0) return scheduler.submit(item);
  const submitted = await scheduler.submit({ ...item, avoidVms: req.avoidVms });
  const allAvoided = submitted.isErr && submitted.error.code === AdmissionReason.NoBackend;
  // A VM on which an attempt failed is used again if there is no other.
  return allAvoided ? scheduler.submit(item) : submitted;
}

/** Returns an error if the caller has disconnected or the deadline has passed. */
export function checkNotExpired(clock: Clock, req: RoutedRequest): RequestError | undefined {
  if (req.signal.aborted) {
    return new RequestError(
      RequestReason.Cancelled,
      'the caller disconnected before the request was sent',
    );
  }
  if (clock.now() < req.deadline) return undefined;
  return new RequestError(
    RequestReason.DeadlineExpired,
    'the deadline passed before the request was sent',
  );
}

async function sendWithGrant(
  deps: LocalAttemptDeps,
  req: RoutedRequest,
  grant: SlotGrant,
): Promise<AttemptResult> {
  // The wait for the slot may have been long, or the process may have been paused meanwhile.
  const expired = checkNotExpired(deps.clock, req);
  if (expired) return Result.err(expired);
  const { pool } = req.service;
  if (deps.view.poolOf(grant.vm) !== pool) {
    req.avoidVms.add(grant.vm);
    const message = `VM ${grant.vm} is no longer in pool ${pool}`;
    return Result.err(new RequestError(RequestReason.BackendRefused, message));
  }
  const sentAt = deps.clock.now();
  const sent = await deps.backends.send(grant.vm, {
    requestId: req.requestId,
    incarnation: parseRequestId(req.requestId)?.issuer.incarnation ?? '',
    pool,
    method: req.method,
    path: req.path,
    headers: req.headers,
    body: req.body,
    deadline: req.deadline,
    // A non-idempotent request is not cancelled after sending: cancelling would not undo it, and
    // its response can be returned to a later attempt of the caller.
    signal: req.idempotent ? req.signal : new AbortController().signal,
  });
  const runTimeMs = deps.clock.now() - sentAt;
  if (sent.isOk) {
    deps.health.recordEnd(grant.vm, undefined, sent.value.status, runTimeMs);
    grant.release(runTimeMs);
    return Result.ok<BackendResponse, RequestError>(sent.value);
  }
  const err = sent.error;
  deps.health.recordEnd(grant.vm, err, 0, runTimeMs);
  grant.release(err.mayHaveRun ? runTimeMs : undefined);
  req.avoidVms.add(grant.vm);
  if (err.code === BackendErrorCode.Leaving) {
    emitVmLeaving(deps, grant.vm);
  }
  return Result.err(fromBackendError(err));
}

function emitVmLeaving({ events, logger }: LocalAttemptDeps, vm: string): void {
  events.emit(EventName.VmLeaving, { vm, sign: LeavingSign.OwnRefusal }).catch((err: unknown) => {
    logger.error({ event: 'vm_leaving_not_announced', vm, error: messageOf(err) });
  });
}

const admissionReasons: Record<AdmissionReason, RequestReason> = {
  [AdmissionReason.ServiceQueueFull]: RequestReason.ServiceQueueFull,
  [AdmissionReason.TeamQueueFull]: RequestReason.TeamQueueFull,
  [AdmissionReason.UnknownTeam]: RequestReason.UnknownTeam,
  [AdmissionReason.UnknownService]: RequestReason.UnknownService,
  [AdmissionReason.DeadlineUnmeetable]: RequestReason.DeadlineUnmeetable,
  [AdmissionReason.DeadlineExpired]: RequestReason.DeadlineExpired,
  [AdmissionReason.NoBackend]: RequestReason.NoBackend,
  [AdmissionReason.Cancelled]: RequestReason.Cancelled,
  [AdmissionReason.ShuttingDown]: RequestReason.ShuttingDown,
};

function fromAdmissionError(err: AdmissionError): RequestError {
  return new RequestError(admissionReasons[err.code], err.message, {
    outcome: Outcome.NotRun,
    retryAfterMs: err.retryAfterMs,
    cause: err,
  });
}

function fromBackendError(err: BackendError): RequestError {
  const reason = err.mayHaveRun ? reasonAfterSending(err.code) : reasonBeforeStart(err.code);
  const outcome = err.mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  return new RequestError(reason, err.message, { outcome, cause: err });
}

function reasonBeforeStart(code: BackendErrorCode): RequestReason {
  switch (code) {
    case BackendErrorCode.NoConnection:
      return RequestReason.BackendBusy;
    case BackendErrorCode.DeadlineBeforeSend:
    case BackendErrorCode.Timeout:
      return RequestReason.DeadlineExpired;
    case BackendErrorCode.NotStarted:
    case BackendErrorCode.Leaving:
      return RequestReason.BackendRefused;
    case BackendErrorCode.Cancelled:
      return RequestReason.Cancelled;
    default:
      return RequestReason.BackendUnreachable;
  }
}

function reasonAfterSending(code: BackendErrorCode): RequestReason {
  switch (code) {
    case BackendErrorCode.Timeout:
    case BackendErrorCode.DeadlineBeforeSend:
      return RequestReason.BackendTimeout;
    case BackendErrorCode.Truncated:
    case BackendErrorCode.Oversize:
    case BackendErrorCode.ResponseMismatch:
      return RequestReason.AnswerRejected;
    case BackendErrorCode.Cancelled:
      return RequestReason.Cancelled;
    default:
      return RequestReason.BackendLost;
  }
}
