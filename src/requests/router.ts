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
import { withDeadline } from './withDeadline.js';
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
import type { Attempt, AttemptResult, RoutedRequest } from './attempt.js';

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

/** Time after which an issuer that is not known may be known again, in milliseconds. */
const ISSUER_GONE_RETRY_MS = 5_000;

/** A request with what was found out about it on arrival. */
interface ValidatedRequest {
  req: CallerRequest;
  service: Service;
  /** No earlier attempt under the same id or key may have run. */
  isFirst: boolean;
}

/** Creates the router of caller requests of one entry process. */
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
    if (closing) return refuse(RequestReason.ShuttingDown, 'the entry process shuts down');
    if (activeRequests > settings.maxInFlight) {
      return refuse(RequestReason.Overloaded, `${settings.maxInFlight} requests are in progress`);
    }
    budget.onRequest();
    const validated = validate(req);
    if (validated.isErr) return Promise.resolve(Result.err(validated.error));
    return dispatch(id, validated.value);
  }

  /** Checks what any process can check without knowing the id. */
  function validate(req: CallerRequest): Result<ValidatedRequest, RequestError> {
    const isFirst = isFirstAttempt(req);
    if (view.version === 0) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.NotReady, 'no configuration is in force yet'),
      );
    }
    const service = view.get(EntityKind.Service, req.service);
    if (!service) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.UnknownService, `no service ${req.service}`),
      );
    }
    if (!view.get(EntityKind.Team, req.team)) {
      return Result.err(refuseBeforeLookup(req, RequestReason.UnknownTeam, `no team ${req.team}`));
    }
    if (req.requestId !== undefined && req.idempotencyKey !== undefined) {
      const message = 'a request carries either a request id or a key, found both';
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
   * Runs a request that needs no record: repeating an idempotent one does no harm, and nobody can
   * repeat one that carries neither id nor key.
   */
  async function runWithoutDeduplication(
    id: string,
    validated: ValidatedRequest,
  ): Promise<RequestResult> {
    const { req } = validated;
    // A fresh id keeps concurrent requests under the same caller id apart at the backend servers.
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
    // The record precedes the claim: another process that reads the claim asks for it here.
    if (!ledger.add(id, req.team, fingerprintOf(req))) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.LedgerFull, 'too many request ids are unused'),
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
    // A claim that takes effect late names this id, so its record must stay.
    if (hadNoEffect) ledger.drop(id);
    const outcome = certainlyNotRun ? Outcome.NotRun : Outcome.Unknown;
    return errorResult(claimReasons[err.code], err.message, { outcome, cause: err });
  }

  /** Ends a non-idempotent request whose id was issued beforehand or is named by its claim. */
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
    const message = `the issuer ${issuer.name} is ${wasReplaced ? 'a new process' : 'not a member'}`;
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
    // The issuer was not asked, so whether the id ran is not known here.
    const { message, retryAfterMs } = result.error;
    const outcome = Outcome.Unknown;
    return errorResult(RequestReason.IssuerUnreachable, message, { outcome, retryAfterMs });
  }

  /** Ends a request by the ledger of this process, which issued its id. */
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
          return errorResult(RequestReason.InvalidRequestId, `${id} was not issued to ${req.team}`);
        case LedgerState.Mismatch:
          return errorResult(RequestReason.RequestMismatch, `${id} belongs to another content`);
        case LedgerState.Running: {
          const sharedResult = await joinRun(id, decision.run, req);
          if (!endedForInitiatorOnly(sharedResult) || clock.now() >= req.deadline)
            return sharedResult;
        }
      }
    }
  }

  /** Runs an id that the ledger permits to run, and records its end. */
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

  /** Waits for the end of an id that runs already. */
  async function joinRun(id: string, run: SharedRun, req: CallerRequest): Promise<RequestResult> {
    if (run.waiters >= settings.maxWaitersPerId) {
      return errorResult(RequestReason.TooManyWaiters, `${run.waiters} callers wait for ${id}`);
    }
    const leave = run.join(req.signal);
    const result = await withDeadline(clock, req.deadline, run.result, req.signal);
    leave();
    if (result?.isOk) metrics.replays.inc();
    return result ?? errorResult(RequestReason.BackendTimeout, `${id} still runs at the deadline`);
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

  /** Ends a request that another entry process passed on. */
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
    // Only the ledger of the issuer may say that an id did not run; for other forwards the origin
    // holds the record and this process sees each of them once.
    const isFirst = !message.toIssuer || ledger.state(id) === LedgerState.Unseen;
    const req: CallerRequest = { ...message, deadline, signal, firstAttempt: isFirst };
    if (closing && isFirst) {
      return Result.err(
        refuseBeforeLookup(req, RequestReason.ShuttingDown, 'the entry process shuts down'),
      );
    }
    if (forwardServer.active > settings.maxForwardsIn) {
      const text = `${settings.maxForwardsIn} forwarded requests are in progress`;
      return Result.err(refuseBeforeLookup(req, RequestReason.Overloaded, text));
    }
    const validated = validate(req);
    if (validated.isErr) return Result.err(validated.error);
    if (!message.toIssuer) {
      return toRequestResult(id, await runLocal(createRoutedRequest(id, validated.value, signal)));
    }
    const parts = parseRequestId(id);
    if (!parts || !isSameMember(parts.issuer, self)) {
      const text = `${id} was issued by another process than ${self.name}`;
      return errorResult(RequestReason.IssuerGone, text, { outcome: Outcome.Unknown });
    }
    return runDeduplicated(id, validated.value, runPlaced);
  }

  /** Turns a failure of the program into an unknown outcome. */
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
    if (closing) return refuse(RequestReason.ShuttingDown, 'the entry process shuts down');
    if (!view.get(EntityKind.Team, team)) {
      return refuse(RequestReason.UnknownTeam, `no team ${team}`);
    }
    if (!Number.isInteger(count) || count < 1 || count > settings.maxIdsPerCall) {
      const message = `count is ${count}, expected 1 to ${settings.maxIdsPerCall}`;
      return refuse(RequestReason.BadRequest, message);
    }
    if (!ledger.hasRoom(count)) {
      return refuse(RequestReason.LedgerFull, 'too many request ids are unused');
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

/** Puts the request id into an end that has none. */
function withRequestId(id: string, result: RequestResult): RequestResult {
  if (result.isOk || result.error.requestId !== undefined) return result;
  const { code, message, outcome, retryAfterMs, cause } = result.error;
  return errorResult(code, message, { outcome, retryAfterMs, cause, requestId: id });
}

/** Whether a run ended before sending, for a cause that concerns only the caller that led it. */
function endedForInitiatorOnly(result: RequestResult): boolean {
  if (result.isOk || result.error.outcome !== Outcome.NotRun) return false;
  const { code } = result.error;
  return code === RequestReason.Cancelled || code === RequestReason.DeadlineExpired;
}
