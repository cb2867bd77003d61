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
import { beforeDeadline } from './beforeDeadline.js';
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
import { isFirstAttempt, isRecorded, outcomeWhen, refused, refuseUndecided } from './refusals.js';
import { isSameMember, parseRequestId } from './requestId.js';
import { createRequestMetrics, ForwardKind, LateAnswer } from './requestMetrics.js';
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
import type { Attempt, AttemptResult, Work } from './work.js';

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
const ISSUER_RETURN_MS = 5_000;

/** A request with what was found out about it on arrival. */
interface Arrival {
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
  const runHere = createLocalAttempt(deps);
  const { zone } = membership.self;
  const runPlaced = createPlacedAttempt({ zone, placement, forwards, metrics, runHere });
  const retryDeps = { clock, random: deps.random, settings, budget, metrics };
  const runRetried: Attempt = (work) => runWithRetries(retryDeps, work, runPlaced);
  const forwardServer = new ForwardServer({
    ...{ clock, peers: deps.peers, serve },
    onEnd: checkIdle,
  });
  let callers = 0;
  let closing: Promise<void> | undefined;
  let onIdle: () => void = () => undefined;

  const inFlight = () => callers + forwardServer.active;

  async function handle(req: CallerRequest): Promise<RequestResult> {
    callers += 1;
    const id = req.requestId ?? ledger.newId();
    const result = named(id, await guarded(id, () => admit(id, req)));
    callers -= 1;
    countEnd(req, result);
    checkIdle();
    return result;
  }

  function admit(id: string, req: CallerRequest): Promise<RequestResult> {
    const refuse = (reason: RequestReason, message: string) =>
      Promise.resolve(
        Result.err<CallerAnswer, RequestError>(refuseUndecided(req, reason, message)),
      );
    if (closing) return refuse(RequestReason.ShuttingDown, 'the entry process shuts down');
    if (callers > settings.maxInFlight) {
      return refuse(RequestReason.Overloaded, `${settings.maxInFlight} requests are in progress`);
    }
    budget.onRequest();
    const arrival = examine(req);
    if (arrival.isErr) return Promise.resolve(Result.err(arrival.error));
    return identify(id, arrival.value);
  }

  /** Checks what any process can check without knowing the id. */
  function examine(req: CallerRequest): Result<Arrival, RequestError> {
    const isFirst = isFirstAttempt(req);
    if (view.version === 0) {
      return Result.err(
        refuseUndecided(req, RequestReason.NotReady, 'no configuration is in force yet'),
      );
    }
    const service = view.get(EntityKind.Service, req.service);
    if (!service) {
      return Result.err(
        refuseUndecided(req, RequestReason.UnknownService, `no service ${req.service}`),
      );
    }
    if (!view.get(EntityKind.Team, req.team)) {
      return Result.err(refuseUndecided(req, RequestReason.UnknownTeam, `no team ${req.team}`));
    }
    if (req.requestId !== undefined && req.idempotencyKey !== undefined) {
      const message = 'a request carries either a request id or a key, found both';
      return refused(RequestReason.BadRequest, message);
    }
    if (clock.now() >= req.deadline) {
      return Result.err(
        refuseUndecided(req, RequestReason.DeadlineExpired, 'the deadline has passed'),
      );
    }
    return Result.ok({ req, service, isFirst });
  }

  function identify(id: string, arrival: Arrival): Promise<RequestResult> {
    const { req } = arrival;
    if (!isRecorded(req)) return runUnrecorded(id, arrival);
    if (req.idempotencyKey !== undefined) return runClaimed(id, req.idempotencyKey, arrival);
    return runIdentified(id, arrival);
  }

  /**
   * Runs a request that needs no record: repeating an idempotent one does no harm, and nobody can
   * repeat one that carries neither id nor key.
   */
  async function runUnrecorded(id: string, arrival: Arrival): Promise<RequestResult> {
    const { req } = arrival;
    // A fresh id keeps concurrent requests under the same caller id apart at the backend servers.
    const ownId = req.requestId === undefined ? id : ledger.newId();
    return toRequestResult(id, await runRetried(workOf(ownId, arrival, req.signal)));
  }

  async function runClaimed(id: string, key: string, arrival: Arrival): Promise<RequestResult> {
    const { req } = arrival;
    // The record precedes the claim: another process that reads the claim asks for it here.
    if (!ledger.add(id, req.team, fingerprintOf(req))) {
      return Result.err(
        refuseUndecided(req, RequestReason.LedgerFull, 'too many request ids are unused'),
      );
    }
    const onCall = (kind: string) => {
      metrics.platformCalls.inc({ kind });
    };
    const claimDeps = { table: deps.table, clock, settings, onCall };
    const claimed = await claimKey(claimDeps, claimRowKey(req.team, key), id, req.deadline);
    if (claimed.isErr) return refuseClaim(id, claimed.error, arrival);
    const holder = claimed.value;
    if (holder !== id) ledger.drop(id);
    const isFirst = arrival.isFirst && holder === id;
    return named(holder, await runIdentified(holder, { ...arrival, isFirst }));
  }

  function refuseClaim(id: string, err: ClaimError, { isFirst }: Arrival): RequestResult {
    const certain = isFirst && ledger.state(id) === LedgerState.Unseen;
    const hadNoEffect =
      err.code === ClaimErrorCode.Unavailable || err.code === ClaimErrorCode.RateLimited;
    // A claim that takes effect late names this id, so its record must stay.
    if (hadNoEffect) ledger.drop(id);
    const outcome = certain ? Outcome.NotRun : Outcome.Unknown;
    return refused(claimReasons[err.code], err.message, { outcome, cause: err });
  }

  /** Ends a non-idempotent request whose id was issued beforehand or is named by its claim. */
  async function runIdentified(id: string, arrival: Arrival): Promise<RequestResult> {
    const parts = parseRequestId(id);
    if (!parts) return refused(RequestReason.InvalidRequestId, `malformed request id ${id}`);
    if (isSameMember(parts.issuer, self)) return runRecorded(id, arrival, runRetried);
    const issuer = findIssuer(parts.issuer);
    if (issuer.isErr) {
      const outcome = outcomeWhen(arrival.isFirst);
      const { code, message, retryAfterMs } = issuer.error;
      return refused(code, message, { outcome, retryAfterMs });
    }
    return askIssuer(id, issuer.value, arrival);
  }

  function findIssuer(issuer: MemberId): Result<MemberInfo, RequestError> {
    const member = membership.member(issuer.name);
    if (member && isSameMember(member.info, issuer)) return Result.ok(member.info);
    const wasReplaced = member !== undefined || issuer.name === self.name;
    const message = `the issuer ${issuer.name} is ${wasReplaced ? 'a new process' : 'not a member'}`;
    const retryAfterMs = wasReplaced ? 0 : ISSUER_RETURN_MS;
    return refused(RequestReason.IssuerGone, message, { retryAfterMs });
  }

  async function askIssuer(
    id: string,
    issuer: MemberInfo,
    arrival: Arrival,
  ): Promise<RequestResult> {
    const last = { sent: false };
    const attempt: Attempt = async (work) => {
      metrics.forwards.inc({ kind: ForwardKind.Issuer });
      const { sent, result } = await forwards.forward(issuer, work, true);
      last.sent = sent;
      return result;
    };
    const work = workOf(id, arrival, arrival.req.signal);
    const result = await runWithRetries(retryDeps, work, attempt);
    if (result.isOk || last.sent || arrival.isFirst) return toRequestResult(id, result);
    // The issuer was not asked, so whether the id ran is not known here.
    const { message, retryAfterMs } = result.error;
    const outcome = Outcome.Unknown;
    return refused(RequestReason.IssuerUnreachable, message, { outcome, retryAfterMs });
  }

  /** Ends a request by the ledger of this process, which issued its id. */
  async function runRecorded(
    id: string,
    arrival: Arrival,
    attempt: Attempt,
  ): Promise<RequestResult> {
    const { req } = arrival;
    const fingerprint = fingerprintOf(req);
    while (true) {
      const decision = ledger.begin(id, req.team, fingerprint);
      switch (decision.state) {
        case LedgerState.Unseen:
          return lead(id, decision.run, arrival, attempt);
        case LedgerState.Answered:
          metrics.replays.inc();
          return Result.ok(decision.answer);
        case LedgerState.Ended:
          return refused(RequestReason.OutcomeLost, `the outcome of ${id} is no longer known`);
        case LedgerState.NotIssued:
          return refused(RequestReason.InvalidRequestId, `${id} was not issued to ${req.team}`);
        case LedgerState.Mismatch:
          return refused(RequestReason.RequestMismatch, `${id} belongs to another content`);
        case LedgerState.Running: {
          const joined = await join(id, decision.run, req);
          if (!endedForItsLeader(joined) || clock.now() >= req.deadline) return joined;
        }
      }
    }
  }

  /** Runs an id that the ledger permits to run, and records its end. */
  async function lead(
    id: string,
    run: SharedRun,
    arrival: Arrival,
    attempt: Attempt,
  ): Promise<RequestResult> {
    const leave = run.join(arrival.req.signal);
    const result = await guarded(id, async () =>
      toRequestResult(id, await attempt(workOf(id, arrival, run.signal))),
    );
    ledger.finish(id, result);
    leave();
    return result;
  }

  /** Waits for the end of an id that runs already. */
  async function join(id: string, run: SharedRun, req: CallerRequest): Promise<RequestResult> {
    if (run.waiters >= settings.maxWaitersPerId) {
      return refused(RequestReason.TooManyWaiters, `${run.waiters} callers wait for ${id}`);
    }
    const leave = run.join(req.signal);
    const result = await beforeDeadline(clock, req.deadline, run.result, req.signal);
    leave();
    if (result?.isOk) metrics.replays.inc();
    return result ?? refused(RequestReason.BackendTimeout, `${id} still runs at the deadline`);
  }

  function workOf(id: string, { req, service }: Arrival, signal: AbortSignal): Work {
    const { team, method, path, headers, body, urgent, idempotent, deadline } = req;
    return {
      ...{ requestId: id, service, team, method, path, headers, body, urgent, idempotent },
      ...{ deadline, signal, avoidVms: new Set(), avoidMembers: new Set() },
    };
  }

  /** Ends a request that another entry process passed on. */
  function serve(forwarded: ForwardedRequest): Promise<RequestResult> {
    const { message } = forwarded;
    return guarded(message.requestId, () => serveExamined(forwarded));
  }

  async function serveExamined({
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
        refuseUndecided(req, RequestReason.ShuttingDown, 'the entry process shuts down'),
      );
    }
    if (forwardServer.active > settings.maxForwardsIn) {
      const text = `${settings.maxForwardsIn} forwarded requests are in progress`;
      return Result.err(refuseUndecided(req, RequestReason.Overloaded, text));
    }
    const arrival = examine(req);
    if (arrival.isErr) return Result.err(arrival.error);
    if (!message.toIssuer) {
      return toRequestResult(id, await runHere(workOf(id, arrival.value, signal)));
    }
    const parts = parseRequestId(id);
    if (!parts || !isSameMember(parts.issuer, self)) {
      const text = `${id} was issued by another process than ${self.name}`;
      return refused(RequestReason.IssuerGone, text, { outcome: Outcome.Unknown });
    }
    return runRecorded(id, arrival.value, runPlaced);
  }

  /** Turns a failure of the program into an unknown outcome. */
  async function guarded(id: string, run: () => Promise<RequestResult>): Promise<RequestResult> {
    try {
      return await run();
    } catch (thrown) {
      const err = toError(thrown);
      logger.error({ event: 'request_failed', requestId: id, error: err.message });
      return refused(RequestReason.InternalError, err.message, { cause: err });
    }
  }

  function countEnd(req: CallerRequest, result: RequestResult): void {
    const outcome = result.isOk ? Outcome.Answered : result.error.outcome;
    metrics.ended.inc({ outcome });
    if (result.isErr) {
      const { code: reason, requestId, message } = result.error;
      metrics.countRefusal(reason, outcome);
      logger.debug({ event: 'request_refused', requestId, reason, outcome, message });
    }
    if (result.isOk && req.signal.aborted)
      metrics.lateAnswers.inc({ cause: LateAnswer.CallerGone });
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

  function checkIdle(): void {
    if (closing && inFlight() === 0) onIdle();
  }

  function close(): Promise<void> {
    closing ??= new Promise((resolve) => {
      onIdle = resolve;
    });
    checkIdle();
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
function named(id: string, result: RequestResult): RequestResult {
  if (result.isOk || result.error.requestId !== undefined) return result;
  const { code, message, outcome, retryAfterMs, cause } = result.error;
  return refused(code, message, { outcome, retryAfterMs, cause, requestId: id });
}

/** Whether a run ended before sending, for a cause that concerns only the caller that led it. */
function endedForItsLeader(result: RequestResult): boolean {
  if (result.isOk || result.error.outcome !== Outcome.NotRun) return false;
  const { code } = result.error;
  return code === RequestReason.Cancelled || code === RequestReason.DeadlineExpired;
}
