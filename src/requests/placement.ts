import type { Service } from '../configuration/index.js';
import { MemberState, type Member, type Membership } from '../membership/index.js';
import type { MemberInfo, PeerNetwork, ServiceLoad } from '../peers/index.js';
import type { Random } from '../random/index.js';
import type { Scheduler } from '../scheduling/index.js';
import { isSameMember } from './requestId.js';

/** Where a request waits for a slot; `member` is absent for this process. */
export interface Placement {
  member?: MemberInfo;
}

/** Parameters of {@link PlacementChooser}. */
export interface PlacementDeps {
  membership: Membership;
  peers: PeerNetwork;
  scheduler: Scheduler;
  random: Random;
}

interface Candidate {
  member: MemberInfo;
  sameZone: boolean;
  freeSlots: number;
  queuedPerSlot: number;
}

interface RecentForwards {
  heardAt: number;
  perService: Map<string, number>;
}

/** Chooses where a request waits, by the load that members advertise. */
export class PlacementChooser {
  readonly #deps: PlacementDeps;
  /** Forwards since the member's last heartbeat, which its advertised load does not contain. */
  readonly #recent = new Map<string, RecentForwards>();

  constructor(deps: PlacementDeps) {
    this.#deps = deps;
  }

  /**
   * Chooses in this order: a free slot here, in the zone, in other zones if the service spills; then
   * the shortest queue per slot here or in the zone; then in other zones if the service spills.
   *
   * @param avoid - names of members not to use
   * @returns undefined when no usable member owns an executor of the service
   */
  choose(service: Service, avoid: ReadonlySet<string>): Placement | undefined {
    const own = this.#deps.scheduler.load().find((load) => load.service === service.id);
    if (own && own.freeSlots > 0) return {};
    const candidates = this.#candidates(service, avoid);
    const inZone = candidates.filter(({ sameZone }) => sameZone);
    const elsewhere = candidates.filter(({ sameZone }) => !sameZone);
    const free = this.#mostFree(inZone) ?? this.#mostFree(elsewhere);
    if (free) return { member: free.member };

    const shortest = this.#shortestQueue(inZone);
    if (own && own.slots > 0) {
      const ownQueue = own.queued / own.slots;
      return shortest && shortest.queuedPerSlot < ownQueue ? { member: shortest.member } : {};
    }
    const queue = shortest ?? this.#shortestQueue(elsewhere);
    return queue && { member: queue.member };
  }

  /** Records that a request was passed to a member. */
  onForward(member: MemberInfo, service: string): void {
    const heardAt = this.#deps.membership.member(member.name)?.lastHeardAt;
    if (heardAt === undefined) return;
    let recent = this.#recent.get(member.name);
    if (recent?.heardAt !== heardAt) {
      this.#forgetUnknownMembers();
      recent = { heardAt, perService: new Map() };
      this.#recent.set(member.name, recent);
    }
    recent.perService.set(service, (recent.perService.get(service) ?? 0) + 1);
  }

  #candidates(service: Service, avoid: ReadonlySet<string>): Candidate[] {
    const { membership, peers } = this.#deps;
    const linked = new Map(peers.connected().map((info) => [info.name, info]));
    return membership.members().flatMap((member) => {
      const link = linked.get(member.info.name);
      const usable =
        member.state === MemberState.Alive &&
        link !== undefined &&
        isSameMember(link, member.info) &&
        !avoid.has(member.info.name);
      const sameZone = member.info.zone === membership.self.zone;
      if (!usable || (!sameZone && !service.spill)) return [];
      const load = member.load.find((entry) => entry.service === service.id);
      return load && load.slots > 0 ? [this.#candidate(member, load, sameZone)] : [];
    });
  }

  #candidate(member: Member, load: ServiceLoad, sameZone: boolean): Candidate {
    const recent = this.#recent.get(member.info.name);
    const perService = recent?.heardAt === member.lastHeardAt ? recent.perService : undefined;
    const sent = perService?.get(load.service) ?? 0;
    const freeSlots = Math.max(0, load.freeSlots - sent);
    const queued = load.queued + Math.max(0, sent - load.freeSlots);
    return { member: member.info, sameZone, freeSlots, queuedPerSlot: queued / load.slots };
  }

  #mostFree(candidates: Candidate[]): Candidate | undefined {
    const most = Math.max(0, ...candidates.map(({ freeSlots }) => freeSlots));
    return most === 0 ? undefined : this.#pick(candidates, (c) => c.freeSlots === most);
  }

  #shortestQueue(candidates: Candidate[]): Candidate | undefined {
    const least = Math.min(...candidates.map(({ queuedPerSlot }) => queuedPerSlot));
    return this.#pick(candidates, (c) => c.queuedPerSlot === least);
  }

  #pick(candidates: Candidate[], isBest: (c: Candidate) => boolean): Candidate | undefined {
    const best = candidates.filter(isBest);
    return best.length === 0 ? undefined : this.#deps.random.pick(best);
  }

  #forgetUnknownMembers(): void {
    for (const name of this.#recent.keys()) {
      if (!this.#deps.membership.member(name)) this.#recent.delete(name);
    }
  }
}
