import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  Outcome,
  PeerErrorCode,
  PeerMessageType,
  type ForwardAnswerMessage,
  type MemberInfo,
  type PeerError,
  type PeerNetwork,
} from '../peers/index.js';
import type { AttemptResult, RoutedRequest } from './attempt.js';
import type { RequestsSettings } from './defaults.js';
import { checkNotExpired } from './localAttempt.js';
import { isRequestReason, reasonRegistry, RequestReason } from './reasons.js';
import { isSameMember } from './requestId.js';
import { LateAnswerCause, type RequestMetrics } from './requestMetrics.js';
import { RequestError } from './types.js';

/** Parameters of {@link ForwardClient}. */
export interface ForwardClientDeps {
  clock: Clock;
  peers: PeerNetwork;
  metrics: RequestMetrics;
  settings: RequestsSettings;
}

/** Result of a forwarded request. */
export interface ForwardResult {
  /** Whether the request was written to the link, after which the other member may have run it. */
  sent: boolean;
  result: AttemptResult;
}

interface PendingForward {
  member: MemberInfo;
  requestId: string;
  settle: (result: AttemptResult) => void;
}

/** Forwards requests to other entry processes and matches the answers to them. */
export class ForwardClient {
  readonly #deps: ForwardClientDeps;
  readonly #pending = new Map<number, PendingForward>();
  #lastForwardId = 0;

  constructor(deps: ForwardClientDeps) {
    this.#deps = deps;
    deps.peers.handle(PeerMessageType.ForwardAnswer, (from, answer) => {
      this.#onAnswer(from, answer);
    });
    deps.peers.onLink((member, up) => {
      this.#onLink(member, up);
    });
  }

  /** Number of forwarded requests that are not yet answered. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Forwards a request to a member and waits for its result until the deadline. */
  async forward(member: MemberInfo, req: RoutedRequest, toIssuer: boolean): Promise<ForwardResult> {
    const { clock, peers, settings } = this.#deps;
    const expired = checkNotExpired(clock, req);
    if (expired) return notSent(expired);
    if (this.#pending.size >= settings.maxForwardsOut) {
      const message = `${this.#pending.size} requests to other entry processes are in progress`;
      return notSent(new RequestError(RequestReason.PeerOverloaded, message));
    }
    this.#lastForwardId += 1;
    const forwardId = this.#lastForwardId;
    const { name, incarnation } = peers.self;
    const sent = peers.send(member.name, {
      type: PeerMessageType.Forward,
      forwardId,
      requestId: req.requestId,
      origin: { name, incarnation },
      team: req.team,
      service: req.service.id,
      urgent: req.urgent,
      idempotent: req.idempotent,
      remainingMs: req.deadline - clock.now(),
      method: req.method,
      path: req.path,
      headers: req.headers,
      body: req.body,
      toIssuer,
    });
    if (sent.isErr) return notSent(fromPeerError(sent.error));
    return { sent: true, result: await this.#awaitAnswer(forwardId, member, req) };
  }

  #awaitAnswer(forwardId: number, member: MemberInfo, req: RoutedRequest): Promise<AttemptResult> {
    const { clock, peers } = this.#deps;
    return new Promise((resolve) => {
      const settle = (result: AttemptResult) => {
        timer.cancel();
        req.signal.removeEventListener('abort', onAbort);
        this.#pending.delete(forwardId);
        resolve(result);
      };
      // The answer is still awaited after a cancellation, since it states whether the request ran.
      const onAbort = () => {
        peers.send(member.name, { type: PeerMessageType.ForwardCancel, forwardId });
      };
      const timer = clock.setTimer(Math.max(0, req.deadline - clock.now()), () => {
        onAbort();
        const message = `no answer from ${member.name} before the deadline`;
        settle(Result.err(new RequestError(RequestReason.BackendTimeout, message)));
      });
      req.signal.addEventListener('abort', onAbort, { once: true });
      this.#pending.set(forwardId, { member, requestId: req.requestId, settle });
    });
  }

  #onAnswer(from: MemberInfo, answer: ForwardAnswerMessage): void {
    const pending = this.#pending.get(answer.forwardId);
    const isAwaited = pending?.requestId === answer.requestId && isSameMember(pending.member, from);
    if (!isAwaited) {
      this.#deps.metrics.lateAnswers.inc({ cause: LateAnswerCause.NotAwaited });
      return;
    }
    pending.settle(fromAnswer(answer));
  }

  #onLink(member: MemberInfo, up: boolean): void {
    for (const pending of [...this.#pending.values()]) {
      if (pending.member.name !== member.name) continue;
      if (up && isSameMember(pending.member, member)) continue;
      const message = `the link to ${member.name} was lost after the request was forwarded`;
      pending.settle(Result.err(new RequestError(RequestReason.LinkLost, message)));
    }
  }
}

function notSent(err: RequestError): ForwardResult {
  return { sent: false, result: Result.err(err) };
}

function fromPeerError(err: PeerError): RequestError {
  switch (err.code) {
    case PeerErrorCode.TooLarge:
      return new RequestError(RequestReason.TooLargeToForward, err.message, { cause: err });
    case PeerErrorCode.Overloaded:
      return new RequestError(RequestReason.PeerOverloaded, err.message, { cause: err });
    default:
      return new RequestError(RequestReason.PeerUnreachable, err.message, { cause: err });
  }
}

function fromAnswer(answer: ForwardAnswerMessage): AttemptResult {
  const { outcome, status, headers, body, reason, message, retryAfterMs } = answer;
  if (outcome === Outcome.Answered) {
    if (status !== undefined && headers && body) return Result.ok({ status, headers, body });
    const incomplete = 'the answer of the other entry process is incomplete';
    return Result.err(new RequestError(RequestReason.AnswerRejected, incomplete));
  }
  // A peer of another release may send an unknown reason, for which unknown is the safe outcome.
  if (!isRequestReason(reason) || !reasonRegistry[reason].outcomes.includes(outcome)) {
    const text = `unexpected answer: reason ${reason ?? 'missing'}, outcome ${outcome}`;
    return Result.err(new RequestError(RequestReason.InternalError, text));
  }
  return Result.err(new RequestError(reason, message ?? reason, { outcome, retryAfterMs }));
}
