import { Result } from 'true-myth';
import {
  BackendErrorCode,
  type BackendAnswer,
  type BackendConnections,
  type BackendError,
  type BackendHealth,
} from '../backends/index.js';
import type { Clock } from '../clock/index.js';
import type { ConfigView } from '../configuration/index.js';
import { messageOf } from '../errors/index.js';
import { EventName, LeavingReason, type EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import { Outcome } from '../peers/index.js';
import {
  AdmissionReason,
  type AdmissionError,
  type Scheduler,
  type SlotGrant,
} from '../scheduling/index.js';
import { operationOf } from './fingerprint.js';
import { RequestReason } from './reasons.js';
import { parseRequestId } from './requestId.js';
import { RequestError } from './types.js';
import type { Attempt, AttemptResult, Work } from './work.js';

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
  return async (work) => {
    const tooLate = refuseLate(deps.clock, work);
    if (tooLate) return Result.err(tooLate);
    const submitted = await submit(deps.scheduler, work);
    if (submitted.isErr) return Result.err(fromAdmission(submitted.error));
    const grant = submitted.value;
    try {
      return await sendOnGrant(deps, work, grant);
    } finally {
      grant.release();
    }
  };
}

async function submit(
  scheduler: Scheduler,
  work: Work,
): Promise<Result<SlotGrant, AdmissionError>> {
  const item = {
    requestId: work.requestId,
    service: work.service.id,
    team: work.team,
    urgent: work.urgent,
    operation: operationOf(work.method, work.path),
    deadline: work.deadline,
    signal: work.signal,
  };
  if (work.avoidVms.size === 0) return scheduler.submit(item);
  const submitted = await scheduler.submit({ ...item, avoidVms: work.avoidVms });
  const allAvoided = submitted.isErr && submitted.error.code === AdmissionReason.NoBackend;
  // A VM that failed before is better than none.
  return allAvoided ? scheduler.submit(item) : submitted;
}

/** The refusal of work whose caller has gone or whose deadline has passed. */
export function refuseLate(clock: Clock, work: Work): RequestError | undefined {
  if (work.signal.aborted) {
    return new RequestError(RequestReason.Cancelled, 'the caller went away before sending');
  }
  if (clock.now() < work.deadline) return undefined;
  return new RequestError(RequestReason.DeadlineExpired, 'the deadline passed before sending');
}

async function sendOnGrant(
  deps: LocalAttemptDeps,
  work: Work,
  grant: SlotGrant,
): Promise<AttemptResult> {
  // The wait for the slot may have been long, and the process may have been paused.
  const tooLate = refuseLate(deps.clock, work);
  if (tooLate) return Result.err(tooLate);
  const { pool } = work.service;
  if (deps.view.poolOf(grant.vm) !== pool) {
    work.avoidVms.add(grant.vm);
    const message = `${grant.vm} is no longer in pool ${pool}`;
    return Result.err(new RequestError(RequestReason.BackendRefused, message));
  }
  const startedAt = deps.clock.now();
  const sent = await deps.backends.send(grant.vm, {
    requestId: work.requestId,
    incarnation: parseRequestId(work.requestId)?.issuer.incarnation ?? '',
    pool,
    method: work.method,
    path: work.path,
    headers: work.headers,
    body: work.body,
    deadline: work.deadline,
    // A non-idempotent request that was sent is not interrupted: its answer serves a later attempt
    // of the caller, and an interruption would not undo it.
    signal: work.idempotent ? work.signal : new AbortController().signal,
  });
  const ranMs = deps.clock.now() - startedAt;
  if (sent.isOk) {
    deps.health.record(grant.vm, undefined, sent.value.status, ranMs);
    grant.release(ranMs);
    return Result.ok<BackendAnswer, RequestError>(sent.value);
  }
  const err = sent.error;
  deps.health.record(grant.vm, err, 0, ranMs);
  grant.release(err.mayHaveRun ? ranMs : undefined);
  work.avoidVms.add(grant.vm);
  if (err.code === BackendErrorCode.Leaving) {
    announceLeaving(deps, grant.vm);
  }
  return Result.err(fromBackend(err));
}

function announceLeaving({ events, logger }: LocalAttemptDeps, vm: string): void {
  events
    .emit(EventName.VmLeaving, { vm, reason: LeavingReason.OwnRefusal })
    .catch((err: unknown) => {
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

function fromAdmission(err: AdmissionError): RequestError {
  return new RequestError(admissionReasons[err.code], err.message, {
    outcome: Outcome.NotRun,
    retryAfterMs: err.retryAfterMs,
    cause: err,
  });
}

function fromBackend(err: BackendError): RequestError {
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
    case BackendErrorCode.Crossed:
      return RequestReason.AnswerRejected;
    case BackendErrorCode.Cancelled:
      return RequestReason.Cancelled;
    default:
      return RequestReason.BackendLost;
  }
}
