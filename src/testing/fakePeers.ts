import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  PeerError,
  PeerErrorCode,
  type MemberInfo,
  type PeerMessage,
  type PeerMessageHandler,
  type PeerNetwork,
} from '../peers/index.js';

type LinkListener = (member: MemberInfo, up: boolean) => void;

interface Node {
  info: MemberInfo;
  handlers: Map<string, PeerMessageHandler>;
  listeners: LinkListener[];
}

/** An in-memory peer network with injectable link faults, for tests and benchmarks. */
export class FakePeerHub {
  readonly #nodes = new Map<string, Node>();
  /** Directed pairs `from>to` whose messages are lost without an error. */
  readonly #lossy = new Set<string>();
  /** Directed pairs `from>to` whose link is down; the sender gets an error. */
  readonly #down = new Set<string>();
  readonly #clock: Clock;
  readonly #latencyMs: (from: MemberInfo, to: MemberInfo) => number;
  /** Number of messages sent, including lost ones. */
  sent = 0;
  /** Called for each message that is sent. */
  onSend: ((from: MemberInfo, to: string, message: PeerMessage) => void) | undefined;

  constructor(clock: Clock, latencyMs: (from: MemberInfo, to: MemberInfo) => number) {
    this.#clock = clock;
    this.#latencyMs = latencyMs;
  }

  /** Adds a peer and connects it to all others immediately. */
  join(info: MemberInfo): PeerNetwork {
    const node: Node = { info, handlers: new Map(), listeners: [] };
    const others = [...this.#nodes.values()];
    this.#nodes.set(info.name, node);
    for (const other of others) {
      for (const listener of other.listeners) listener(info, true);
    }
    return {
      self: info,
      connected: () =>
        [...this.#nodes.values()]
          .filter((other) => other !== node && !this.#down.has(`${info.name}>${other.info.name}`))
          .map((other) => other.info),
      addMember: () => undefined,
      removeMember: () => undefined,
      send: (name, message) => this.#send(node, name, message),
      handle: (type, handler) => {
        node.handlers.set(type, handler as PeerMessageHandler);
      },
      onLink: (listener) => {
        node.listeners.push(listener);
        for (const other of this.#nodes.values()) {
          if (other !== node) listener(other.info, true);
        }
      },
    };
  }

  /** Removes a peer. Its links go down and messages in transit to it are lost. */
  leave(name: string): void {
    const node = this.#nodes.get(name);
    this.#nodes.delete(name);
    if (!node) return;
    for (const other of this.#nodes.values()) {
      for (const listener of other.listeners) listener(node.info, false);
    }
  }

  /** Takes the link between two peers down or up; both peers are notified. */
  setLink(a: string, b: string, up: boolean): void {
    for (const [from, to] of [
      [a, b],
      [b, a],
    ] as const) {
      if (up) this.#down.delete(`${from}>${to}`);
      else this.#down.add(`${from}>${to}`);
      const node = this.#nodes.get(from);
      const other = this.#nodes.get(to);
      if (node && other) for (const listener of node.listeners) listener(other.info, up);
    }
  }

  /** Starts or stops dropping messages in one direction without an error. */
  setLossy(from: string, to: string, lossy: boolean): void {
    if (lossy) this.#lossy.add(`${from}>${to}`);
    else this.#lossy.delete(`${from}>${to}`);
  }

  #send(node: Node, name: string, message: PeerMessage): Result<void, PeerError> {
    const target = this.#nodes.get(name);
    const path = `${node.info.name}>${name}`;
    if (!target || this.#down.has(path) || !this.#nodes.has(node.info.name)) {
      return Result.err(new PeerError(PeerErrorCode.NotConnected, `no link to ${name}`));
    }
    this.sent += 1;
    this.onSend?.(node.info, name, message);
    const copy = structuredClone(message);
    this.#clock.setTimer(this.#latencyMs(node.info, target.info), () => {
      if (this.#lossy.has(path) || this.#down.has(path)) return;
      if (this.#nodes.get(name) !== target) return;
      target.handlers.get(copy.type)?.(node.info, copy);
    });
    return Result.ok(undefined);
  }
}
