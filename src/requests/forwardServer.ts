import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  Outcome,
  PeerErrorCode,
  PeerMessageType,
  type ForwardAnswerMessage,
  type ForwardMessage,
  type MemberInfo,
  type PeerNetwork,
} from '../peers/index.js';
import { RequestReason } from './reasons.js';
import { isSameMember } from './requestId.js';
import { RequestError, type RequestResult } from './types.js';

/** A request received from another entry process. */
export interface ForwardedRequest {
  message: ForwardMessage;
  /** Monotonic time of this process, in milliseconds. */
  deadline: number;
  /** Aborted when the origin cancels the request or its link is lost. */
  signal: AbortSignal;
}

/** Parameters of {@link ForwardServer}. */
export interface ForwardServerDeps {
  clock: Clock;
  peers: PeerNetwork;
  /** Runs a forwarded request to its result. The promise never rejects. */
  serve: (req: ForwardedRequest) => Promise<RequestResult>;
  /** Called after each answer is sent. */
  onAnswered: () => void;
}

interface ActiveForward {
  from: MemberInfo;
  controller: AbortController;
}

/** Receives requests from other entry processes and answers them. */
export class ForwardServer {
  readonly #deps: ForwardServerDeps;
  readonly #active = new Map<string, ActiveForward>();

  constructor(deps: ForwardServerDeps) {
    this.#deps = deps;
    const { peers } = deps;
    peers.handle(PeerMessageType.Forward, (from, message) => {
      void this.#onForward(from, message);
    });
    peers.handle(PeerMessageType.ForwardCancel, (from, { forwardId }) => {
      this.#active.get(activeKey(from, forwardId))?.controller.abort();
    });
    peers.onLink((member, up) => {
      this.#onLink(member, up);
    });
  }

  /** Number of received requests that are not yet answered. */
  get active(): number {
    return this.#active.size;
  }

  async #onForward(from: MemberInfo, message: ForwardMessage): Promise<void> {
    const key = activeKey(from, message.forwardId);
    // An origin that differs from the sender is an earlier incarnation, which awaits no answer.
    if (!isSameMember(from, message.origin) || this.#active.has(key)) return;
    const controller = new AbortController();
    this.#active.set(key, { from, controller });
    const deadline = this.#deps.clock.now() + message.remainingMs;
    const result = await this.#deps.serve({ message, deadline, signal: controller.signal });
    this.#active.delete(key);
    // If the link was lost, the origin has already ended the request with an unknown outcome.
    const sent = this.#deps.peers.send(from.name, toAnswer(message, result));
    if (sent.isErr && sent.error.code === PeerErrorCode.TooLarge) {
      const tooLarge = new RequestError(RequestReason.AnswerRejected, sent.error.message);
      this.#deps.peers.send(from.name, toAnswer(message, Result.err(tooLarge)));
    }
    this.#deps.onAnswered();
  }

  #onLink(member: MemberInfo, up: boolean): void {
    for (const { from, controller } of this.#active.values()) {
      if (from.name !== member.name) continue;
      if (!up || !isSameMember(from, member)) controller.abort();
    }
  }
}

function activeKey(from: MemberInfo, forwardId: number): string {
  return `${from.name}.${from.incarnation}.${forwardId}`;
}

function toAnswer(message: ForwardMessage, result: RequestResult): ForwardAnswerMessage {
  const { forwardId, requestId } = message;
  const common = { type: PeerMessageType.ForwardAnswer, forwardId, requestId } as const;
  if (result.isOk) {
    const { status, headers, body } = result.value;
    return { ...common, outcome: Outcome.Answered, status, headers, body };
  }
  const { code, outcome, message: text, retryAfterMs } = result.error;
  return { ...common, outcome, reason: code, message: text, retryAfterMs };
}
