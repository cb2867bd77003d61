import { Result } from 'true-myth';
import type { BackendConnections, BackendHealth } from '../backends/index.js';
import type { Clock } from '../clock/index.js';
import { EntityKind, type ConfigView, type Service } from '../configuration/index.js';
import { toError } from '../errors/index.js';
import type { EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import type { Membership } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import { Outcome, type MemberId, type MemberInfo, type PeerNetwork } from '../peers/index.js';
import type { Table } from '../platform/index.js';
import type { Random } from '../random/index.js';
import type { Scheduler } from '../scheduling/index.js';
import type { Attempt, AttemptResult, RoutedRequest } from './attempt.js';
import { ClaimErrorCode, claimKey, claimRowKey, type ClaimError } from './claims.js';
import type { RequestsSettings } from './defaults.js';
import { fingerprintOf } from './fingerprint.js';
import { ForwardClient } from './forwardClient.js';
import { ForwardServer, type ForwardedRequest } from './forwardServer.js';
import { LedgerState, RequestLedger } from './ledger.js';
import { createLocalAttempt } from './localAttempt.js';
import { createPlacedAttempt } from './placedAttempt.js';
import { PlacementChooser } from './placement.js';
import { RequestReason } from './reasons.js';
import {
  isFirstAttempt,
  requiresDeduplication,
  outcomeIfNotSent,
  errorResult,
  refuseBeforeLookup,
} from './refusals.js';
import { isSameMember, parseRequestId } from './requestId.js';
import { createRequestMetrics, ForwardKind, LateAnswerCause } from './requestMetrics.js';
import { RetryBudget } from './retryBudget.js';
import { runWithRetries } from './retries.js';
import type { SharedRun } from './sharedRun.js';
import {
  RequestError,
  type CallerAnswer,
  type CallerRequest,
  type RequestResult,
  type RequestRouter,
} from './types.js';
import { withDeadline } from './withDeadline.js';

/** Parameters of {@link createRequestRouter}. */
export interface RequestRouterDeps {
  self: MemberId;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  events: EventBus;
  view: ConfigView;
  membership: Membership;
  peers: PeerNetwork;
  scheduler: Scheduler;
  backends: BackendConnections;
  health: BackendHealth;
  table: Table;
  settings: RequestsSettings;
}

/** Retry delay in milliseconds for an id whose issuer is not a known member but may become one. */
const ISSUER_GONE_RETRY_MS = 5_000;

/** A caller request that passed the checks on arrival. */
interface ValidatedRequest {
  req: CallerRequest;
  service: Service;
  /** Whether no earlier attempt with the same id or key can have run. */
  isFirst: boolean;
}

/** Creates the router for the caller requests of one entry process. */
export function createRequestRouter(deps: RequestRouterDeps): RequestRouter {
  const { self, clock, logger, view, membership, settings } = deps;
  const metrics = createRequestMetrics(deps.metrics);
  const ledger = new RequestLedger(self, clock, settings);
  const budget = new RetryBudget(clock, settings);
  const placement = new PlacementChooser(deps);
  const forwards = new ForwardClient({ clock, peers: deps.peers, metrics, settings });
  const runLocal = createLocalAttempt(deps);
  const { zone } = membership.self;
  const runPlaced = createPlacedAttempt({ zone, placement, forwards, metrics, runLocal });
  const retryDeps = { clock, random: deps.random, settings, budget, metrics };
  const runPlacedWithRetries: Attempt = (req) => runWithRetries(retryDeps, req, runPlaced);
  const forwardServer = new ForwardServer({
    ...{ clock, peers: deps.peers, serve },
    onAnswered: notifyIfIdle,
  });
  let activeRequests = 0;
  let closing: Promise<void> | undefined;
  let onIdle: () => void = () => undefined;

  const inFlight = () => activeRequests + forwardServer.active;

  async function handle(req: CallerRequest): Promise<RequestResult> {
    activeRequests += 1;
    const id = req.requestId ?? ledger.newId();
    const result = withRequestId(id, await catchInternalErrors(id, () => admit(id, req)));
    activeRequests -= 1;
    recordResult(req, result);
    notifyIfIdle();
    return result;
  }

  function admit(id: string, req: CallerRequest): Promise<RequestResult> {
    const refuse = (reason: RequestReason, message: string) =>
      Promise.resolve(
        Result.err<CallerAnswer, RequestError>(refuseBeforeLookup(req, reason, message)),
      );
    if (closing) return refuse(RequestReason.ShuttingDown, 'the entry process is shutting down');
    if (activeRequests > settings.maxInFlight) {
      return refuse(
        RequestReason.Overloaded,
        `the limit of ${settings.maxInFlight} requests is reached`,
      );
    }
    budget.onRequest();
    const validated = validate(req);
    if (validated.isErr) return Promise.resolve(Result.err(validated.error));
    return dispatch(id, validated.value);
  }

  /** Runs the checks that any entry process can make without the ledger of the issuer. */
  function validate(req: CallerRequest): Result<ValidatedRequest, RequestError> {
    const isFirst = isFirstAttempt(req);
    if (view.version === 0) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.NotReady, 'no configuration has been received yet'),
      );
    }
    const service = view.get(EntityKind.Service, req.service);
    if (!service) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.UnknownService, `unknown service ${req.service}`),
      );
    }
    if (!view.get(EntityKind.Team, req.team)) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.UnknownTeam, `unknown team ${req.team}`),
      );
    }
    if (req.requestId !== undefined && req.idempotencyKey !== undefined) {
      const message = 'a request may have a request id or an idempotency key, but not both';
      return errorResult(RequestReason.BadRequest, message);
    }
    if (clock.now() >= req.deadline) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.DeadlineExpired, 'the deadline has passed'),
      );
    }
    return Result.ok({ req, service, isFirst });
  }

  function dispatch(id: string, validated: ValidatedRequest): Promise<RequestResult> {
    const { req } = validated;
    if (!requiresDeduplication(req)) return runWithoutDeduplication(id, validated);
    if (req.idempotencyKey !== undefined)
      return runWithIdempotencyKey(id, req.idempotencyKey, validated);
    return runWithRequestId(id, validated);
  }

  /**
   * Runs a request that needs no ledger record: an idempotent request can be repeated safely, and
   * nobody can repeat one that has neither id nor key.
   */
  async function runWithoutDeduplication(
    id: string,
    validated: ValidatedRequest,
  ): Promise<RequestResult> {
    const { req } = validated;
    // A new id lets backend servers tell concurrent requests with the same caller id apart.
    const executionId = req.requestId === undefined ? id : ledger.newId();
    return toRequestResult(
      id,
      await runPlacedWithRetries(createRoutedRequest(executionId, validated, req.signal)),
    );
  }

  async function runWithIdempotencyKey(
    id: string,
    key: string,
    validated: ValidatedRequest,
  ): Promise<RequestResult> {
    const { req } = validated;
    // The record must exist before the claim: a process that reads the claim asks this one for it.
    if (!ledger.add(id, req.team, fingerprintOf(req))) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.LedgerFull, 'too many unused request ids'),
      );
    }
    const onPlatformCall = (kind: string) => {
      metrics.platformCalls.inc({ kind });
    };
    const claimDeps = { table: deps.table, clock, settings, onPlatformCall };
    const claimed = await claimKey(claimDeps, claimRowKey(req.team, key), id, req.deadline);
    if (claimed.isErr) return refuseClaim(id, claimed.error, validated);
    const holder = claimed.value;
    if (holder !== id) ledger.drop(id);
    const isFirst = validated.isFirst && holder === id;
    return withRequestId(holder, await runWithRequestId(holder, { ...validated, isFirst }));
  }

  function refuseClaim(id: string, err: ClaimError, { isFirst }: ValidatedRequest): RequestResult {
    const certainlyNotRun = isFirst && ledger.state(id) === LedgerState.Unseen;
    const hadNoEffect =
      err.code === ClaimErrorCode.Unavailable || err.code === ClaimErrorCode.RateLimited;
    // Otherwise the record must stay, since the claim may take effect late and names this id.
    if (hadNoEffect) ledger.drop(id);
    const outcome = certainlyNotRun ? Outcome.NotRun : Outcome.Unknown;
    return errorResult(claimReasons[err.code], err.message, { outcome, cause: err });
  }

  /** Runs a non-idempotent request whose id was issued in advance or is stored in its claim. */
  async function runWithRequestId(id: string, validated: ValidatedRequest): Promise<RequestResult> {
    const parts = parseRequestId(id);
    if (!parts) return errorResult(RequestReason.InvalidRequestId, `malformed request id ${id}`);
    if (isSameMember(parts.issuer, self))
      return runDeduplicated(id, validated, runPlacedWithRetries);
    const issuer = findIssuer(parts.issuer);
    if (issuer.isErr) {
      const outcome = outcomeIfNotSent(validated.isFirst);
      const { code, message, retryAfterMs } = issuer.error;
      return errorResult(code, message, { outcome, retryAfterMs });
    }
    return forwardToIssuer(id, issuer.value, validated);
  }

  function findIssuer(issuer: MemberId): Result<MemberInfo, RequestError> {
    const member = membership.member(issuer.name);
    if (member && isSameMember(member.info, issuer)) return Result.ok(member.info);
    const wasReplaced = member !== undefined || issuer.name === self.name;
    const message = `the issuer ${issuer.name} ${wasReplaced ? 'has restarted' : 'is not a member'}`;
    const retryAfterMs = wasReplaced ? 0 : ISSUER_GONE_RETRY_MS;
    return errorResult(RequestReason.IssuerGone, message, { retryAfterMs });
  }

  async function forwardToIssuer(
    id: string,
    issuer: MemberInfo,
    validated: ValidatedRequest,
  ): Promise<RequestResult> {
    const lastForward = { sent: false };
    const attempt: Attempt = async (routed) => {
      metrics.forwards.inc({ kind: ForwardKind.Issuer });
      const { sent, result } = await forwards.forward(issuer, routed, true);
      lastForward.sent = sent;
      return result;
    };
    const routed = createRoutedRequest(id, validated, validated.req.signal);
    const result = await runWithRetries(retryDeps, routed, attempt);
    if (result.isOk || lastForward.sent || validated.isFirst) return toRequestResult(id, result);
    // The request did not reach the issuer, so it is not known whether the id has run.
    const { message, retryAfterMs } = result.error;
    const outcome = Outcome.Unknown;
    return errorResult(RequestReason.IssuerUnreachable, message, { outcome, retryAfterMs });
  }

  /** Runs a request according to the ledger of this process, which issued its id. */
  async function runDeduplicated(
    id: string,
    validated: ValidatedRequest,
    attempt: Attempt,
  ): Promise<RequestResult> {
    const { req } = validated;
    const fingerprint = fingerprintOf(req);
    while (true) {
      const decision = ledger.begin(id, req.team, fingerprint);
      switch (decision.state) {
        case LedgerState.Unseen:
          return executeRun(id, decision.run, validated, attempt);
        case LedgerState.Answered:
          metrics.replays.inc();
          return Result.ok(decision.answer);
        case LedgerState.Ended:
          return errorResult(RequestReason.OutcomeLost, `the outcome of ${id} is no longer known`);
        case LedgerState.NotIssued:
          return errorResult(
            RequestReason.InvalidRequestId,
            `${id} was not issued to team ${req.team}`,
          );
        case LedgerState.Mismatch:
          return errorResult(
            RequestReason.RequestMismatch,
            `${id} belongs to a request with different content`,
          );
        case LedgerState.Running: {
          const sharedResult = await joinRun(id, decision.run, req);
          if (!endedForInitiatorOnly(sharedResult) || clock.now() >= req.deadline)
            return sharedResult;
        }
      }
    }
  }

  /** Runs an id that the ledger permits to run, and records the result. */
  async function executeRun(
    id: string,
    run: SharedRun,
    validated: ValidatedRequest,
    attempt: Attempt,
  ): Promise<RequestResult> {
    const leave = run.join(validated.req.signal);
    const result = await catchInternalErrors(id, async () =>
      toRequestResult(id, await attempt(createRoutedRequest(id, validated, run.signal))),
    );
    ledger.finish(id, result);
    leave();
    return result;
  }

  /** Waits for the result of an id that is already running. */
  async function joinRun(id: string, run: SharedRun, req: CallerRequest): Promise<RequestResult> {
    if (run.waiters >= settings.maxWaitersPerId) {
      return errorResult(
        RequestReason.TooManyWaiters,
        `${run.waiters} callers already wait for ${id}`,
      );
    }
    const leave = run.join(req.signal);
    const result = await withDeadline(clock, req.deadline, run.result, req.signal);
    leave();
    if (result?.isOk) metrics.replays.inc();
    return (
      result ?? errorResult(RequestReason.BackendTimeout, `${id} is still running at the deadline`)
    );
  }

  function createRoutedRequest(
    id: string,
    { req, service }: ValidatedRequest,
    signal: AbortSignal,
  ): RoutedRequest {
    const { team, method, path, headers, body, urgent, idempotent, deadline } = req;
    return {
      ...{ requestId: id, service, team, method, path, headers, body, urgent, idempotent },
      ...{ deadline, signal, avoidVms: new Set(), avoidMembers: new Set() },
    };
  }

  /** Runs a request that another entry process forwarded. */
  function serve(forwarded: ForwardedRequest): Promise<RequestResult> {
    const { message } = forwarded;
    return catchInternalErrors(message.requestId, () => serveForwarded(forwarded));
  }

  async function serveForwarded({
    message,
    deadline,
    signal,
  }: ForwardedRequest): Promise<RequestResult> {
    const id = message.requestId;
    // For a forward to the issuer, only this ledger can tell that the id did not run. For other
    // forwards the origin holds the record, and this process receives each of them once.
    const isFirst = !message.toIssuer || ledger.state(id) === LedgerState.Unseen;
    const req: CallerRequest = { ...message, deadline, signal, firstAttempt: isFirst };
    if (closing && isFirst) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.ShuttingDown, 'the entry process is shutting down'),
      );
    }
    if (forwardServer.active > settings.maxForwardsIn) {
      const text = `the limit of ${settings.maxForwardsIn} forwarded requests is reached`;
      return Result.err(refuseBeforeLookup(req, RequestReason.Overloaded, text));
    }
    const validated = validate(req);
    if (validated.isErr) return Result.err(validated.error);
    if (!message.toIssuer) {
      return toRequestResult(id, await runLocal(createRoutedRequest(id, validated.value, signal)));
    }
    const parts = parseRequestId(id);
    if (!parts || !isSameMember(parts.issuer, self)) {
      const text = `${id} was not issued by the current process ${self.name}`;
      return errorResult(RequestReason.IssuerGone, text, { outcome: Outcome.Unknown });
    }
    return runDeduplicated(id, validated.value, runPlaced);
  }

  /** Converts an unexpected exception into an internal error with an unknown outcome. */
  async function catchInternalErrors(
    id: string,
    run: () => Promise<RequestResult>,
  ): Promise<RequestResult> {
    try {
      return await run();
    } catch (thrown) {
      const err = toError(thrown);
      logger.error({ event: 'request_failed', requestId: id, error: err.message });
      return errorResult(RequestReason.InternalError, err.message, { cause: err });
    }
  }

  function recordResult(req: CallerRequest, result: RequestResult): void {
    const outcome = result.isOk ? Outcome.Answered : result.error.outcome;
    metrics.ended.inc({ outcome });
    if (result.isErr) {
      const { code: reason, requestId, message } = result.error;
      metrics.countRefusal(reason, outcome);
      logger.debug({ event: 'request_refused', requestId, reason, outcome, message });
    }
    if (result.isOk && req.signal.aborted)
      metrics.lateAnswers.inc({ cause: LateAnswerCause.CallerGone });
  }

  function issueIds(team: string, count: number): Result<string[], RequestError> {
    const refuse = (reason: RequestReason, message: string) => {
      metrics.countRefusal(reason, Outcome.NotRun);
      return Result.err<string[], RequestError>(new RequestError(reason, message));
    };
    if (closing) return refuse(RequestReason.ShuttingDown, 'the entry process is shutting down');
    if (!view.get(EntityKind.Team, team)) {
      return refuse(RequestReason.UnknownTeam, `unknown team ${team}`);
    }
    if (!Number.isInteger(count) || count < 1 || count > settings.maxIdsPerCall) {
      const message = `count is ${count}, expected 1 to ${settings.maxIdsPerCall}`;
      return refuse(RequestReason.BadRequest, message);
    }
    if (!ledger.hasRoom(count)) {
      return refuse(RequestReason.LedgerFull, 'too many unused request ids');
    }
    const ids = Array.from({ length: count }, () => ledger.newId());
    for (const id of ids) ledger.add(id, team);
    return Result.ok(ids);
  }

  function notifyIfIdle(): void {
    if (closing && inFlight() === 0) onIdle();
  }

  function close(): Promise<void> {
    closing ??= new Promise((resolve) => {
      onIdle = resolve;
    });
    notifyIfIdle();
    return closing;
  }

  return { handle, issueIds, newRequestId: () => ledger.newId(), inFlight, close };
}

const claimReasons: Record<ClaimErrorCode, RequestReason> = {
  [ClaimErrorCode.Unavailable]: RequestReason.PlatformUnavailable,
  [ClaimErrorCode.RateLimited]: RequestReason.PlatformBusy,
  [ClaimErrorCode.Unresolved]: RequestReason.ClaimUnresolved,
  [ClaimErrorCode.DeadlineExpired]: RequestReason.DeadlineExpired,
};

function toRequestResult(requestId: string, result: AttemptResult): RequestResult {
  return result.map((answer): CallerAnswer => ({ requestId, ...answer }));
}

/** Adds the request id to an error that has none. */
function withRequestId(id: string, result: RequestResult): RequestResult {
  if (result.isOk || result.error.requestId !== undefined) return result;
  const { code, message, outcome, retryAfterMs, cause } = result.error;
  return errorResult(code, message, { outcome, retryAfterMs, cause, requestId: id });
}

/** Whether a run ended before sending for a reason that concerns only its first caller. */
function endedForInitiatorOnly(result: RequestResult): boolean {
  if (result.isOk || result.error.outcome !== Outcome.NotRun) return false;
  const { code } = result.error;
  return code === RequestReason.Cancelled || code === RequestReason.DeadlineExpired;
}
