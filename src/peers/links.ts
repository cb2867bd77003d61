import type { Clock } from '../clock/index.js';
import type { Connection } from './connection.js';
import type { MemberInfo } from './types.js';

/** Why a connection is refused; label of the refusal counter. */
export enum RefusalReason {
  /** The member has this process's own name. */
  OwnName = 'own_name',
  /** Another member than the dialed one answered. */
  WrongMember = 'wrong_member',
  /** A link to this member is up. */
  Duplicate = 'duplicate',
  /** A link to a newer incarnation of this member is up. */
  OlderIncarnation = 'older_incarnation',
  Cut = 'cut',
  InboundLimit = 'inbound_limit',
  MemberLimit = 'member_limit',
  Handshake = 'handshake',
  BadFrame = 'bad_frame',
  UnknownType = 'unknown_type',
  HandlerFailed = 'handler_failed',
  NotConnected = 'not_connected',
  Overloaded = 'overloaded',
  TooLarge = 'too_large',
}

/** Called when a member's link is up or down. */
export type LinkListener = (member: MemberInfo, up: boolean) => void;

/** The links in use, one per member. */
export class Links {
  readonly #links = new Map<string, Connection>();
  readonly #listeners: LinkListener[] = [];
  readonly #self: MemberInfo;
  readonly #clock: Clock;
  readonly #raceWindowMs: number;

  /** @param raceWindowMs - age in milliseconds up to which both sides may have dialed at once */
  constructor(self: MemberInfo, clock: Clock, raceWindowMs: number) {
    this.#self = self;
    this.#clock = clock;
    this.#raceWindowMs = raceWindowMs;
  }

  get(name: string): Connection | undefined {
    return this.#links.get(name);
  }

  members(): MemberInfo[] {
    return [...this.#links.values()].flatMap(({ peer }) => peer ?? []);
  }

  /** The link to the member that listens at an address. */
  at(host: string, port: number): Connection | undefined {
    return [...this.#links.values()].find(({ peer }) => peer?.host === host && peer.port === port);
  }

  onLink(listener: LinkListener): void {
    this.#listeners.push(listener);
    for (const member of this.members()) listener(member, true);
  }

  /** Decides whether a connection to a member, dialed by `dialer`, becomes its link. */
  refusalOf(member: MemberInfo, dialer: string): RefusalReason | undefined {
    if (member.name === this.#self.name) return RefusalReason.OwnName;
    const existing = this.#links.get(member.name);
    if (!existing?.peer) return undefined;
    if (existing.peer.incarnation === member.incarnation) {
      return this.#replaces(existing, member, dialer) ? undefined : RefusalReason.Duplicate;
    }
    const isOlder = member.startedAt < existing.peer.startedAt;
    return isOlder ? RefusalReason.OlderIncarnation : undefined;
  }

  /** Puts an authenticated connection into use; the former link is flushed and closed. */
  install(connection: Connection, member: MemberInfo): void {
    const former = this.#links.get(member.name);
    this.#links.set(member.name, connection);
    void former?.close();
    if (former?.peer?.incarnation === member.incarnation) return;
    if (former?.peer) this.#notify(former.peer, false);
    this.#notify(member, true);
  }

  /** Takes a connection that ended out of use. */
  remove(connection: Connection): void {
    const { peer } = connection;
    if (!peer || this.#links.get(peer.name) !== connection) return;
    this.#links.delete(peer.name);
    this.#notify(peer, false);
  }

  /**
   * When both sides dial at once, the connection dialed by the smaller name stays. A member that
   * dials again later, or twice, has lost the former link.
   */
  #replaces(existing: Connection, member: MemberInfo, dialer: string): boolean {
    if (dialer === existing.dialer) return true;
    if (this.#clock.now() - existing.establishedAt > this.#raceWindowMs) return true;
    const preferred = this.#self.name < member.name ? this.#self.name : member.name;
    return dialer === preferred;
  }

  #notify(member: MemberInfo, up: boolean): void {
    for (const listener of this.#listeners) listener(member, up);
  }
}
