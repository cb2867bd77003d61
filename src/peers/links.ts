import type { Clock } from '../clock/index.js';
import type { Connection } from './connection.js';
import type { MemberInfo } from './types.js';

/** Why a connection or message is refused; value of the `reason` label of `peer_refusals_total`. */
export enum RefusalReason {
  /** The peer uses the name of this process. */
  OwnName = 'own_name',
  /** The peer at the dialed address is not the expected member. */
  WrongMember = 'wrong_member',
  /** A link to the same incarnation of this member is already up. */
  Duplicate = 'duplicate',
  /** A link to a newer incarnation of this member is already up. */
  OlderIncarnation = 'older_incarnation',
  /** A simulated partition blocks the connection or drops the message. */
  Partitioned = 'cut',
  InboundLimit = 'inbound_limit',
  MemberLimit = 'member_limit',
  /** The connection failed or was closed before the handshake completed. */
  Handshake = 'handshake',
  BadFrame = 'bad_frame',
  /** No handler is registered for the message type. */
  UnknownType = 'unknown_type',
  HandlerFailed = 'handler_failed',
  NotConnected = 'not_connected',
  Overloaded = 'overloaded',
  TooLarge = 'too_large',
}

/** Called when the link to a member comes up or goes down. */
export type LinkListener = (member: MemberInfo, up: boolean) => void;

/** The established links, at most one per member. */
export class Links {
  readonly #links = new Map<string, Connection>();
  readonly #listeners: LinkListener[] = [];
  readonly #self: MemberInfo;
  readonly #clock: Clock;
  readonly #simultaneousDialWindowMs: number;

  /**
   * @param simultaneousDialWindowMs - link age in milliseconds up to which both sides may have
   *   dialed simultaneously
   */
  constructor(self: MemberInfo, clock: Clock, simultaneousDialWindowMs: number) {
    this.#self = self;
    this.#clock = clock;
    this.#simultaneousDialWindowMs = simultaneousDialWindowMs;
  }

  get(name: string): Connection | undefined {
    return this.#links.get(name);
  }

  members(): MemberInfo[] {
    return [...this.#links.values()].flatMap(({ peer }) => peer ?? []);
  }

  /** Returns the link to the member whose peer listener has this address. */
  findByAddress(host: string, port: number): Connection | undefined {
    return [...this.#links.values()].find(({ peer }) => peer?.host === host && peer.port === port);
  }

  onLink(listener: LinkListener): void {
    this.#listeners.push(listener);
    for (const member of this.members()) listener(member, true);
  }

  /**
   * Returns why a connection to a member, opened by `dialer`, must not become its link, or
   * undefined if it may.
   */
  refusalReasonFor(member: MemberInfo, dialer: string): RefusalReason | undefined {
    if (member.name === this.#self.name) return RefusalReason.OwnName;
    const existing = this.#links.get(member.name);
    if (!existing?.peer) return undefined;
    if (existing.peer.incarnation === member.incarnation) {
      return this.#shouldReplace(existing, member, dialer) ? undefined : RefusalReason.Duplicate;
    }
    const isOlder = member.startedAt < existing.peer.startedAt;
    return isOlder ? RefusalReason.OlderIncarnation : undefined;
  }

  /** Makes a connection the link to a member and closes the previous link gracefully. */
  install(connection: Connection, member: MemberInfo): void {
    const previous = this.#links.get(member.name);
    this.#links.set(member.name, connection);
    void previous?.close();
    if (previous?.peer?.incarnation === member.incarnation) return;
    if (previous?.peer) this.#notify(previous.peer, false);
    this.#notify(member, true);
  }

  /** Removes a closed connection, unless another connection has replaced it as the link. */
  remove(connection: Connection): void {
    const { peer } = connection;
    if (!peer || this.#links.get(peer.name) !== connection) return;
    this.#links.delete(peer.name);
    this.#notify(peer, false);
  }

  /**
   * Whether a new connection replaces the existing link. When both sides dial simultaneously, they
   * keep the connection opened by the member with the smaller name. A second connection from the
   * same dialer, or after the simultaneous-dial window, means that the dialer has lost its link.
   */
  #shouldReplace(existing: Connection, member: MemberInfo, dialer: string): boolean {
    if (dialer === existing.dialer) return true;
    if (this.#clock.now() - existing.establishedAt > this.#simultaneousDialWindowMs) return true;
    const preferred = this.#self.name < member.name ? this.#self.name : member.name;
    return dialer === preferred;
  }

  #notify(member: MemberInfo, up: boolean): void {
    for (const listener of this.#listeners) listener(member, up);
  }
}
