import type { Service } from '../configuration/index.js';
import { MemberState, type Member, type Membership } from '../membership/index.js';
import type { MemberInfo, PeerNetwork, ServiceLoad } from '../peers/index.js';
import type { Random } from '../random/index.js';
import type { Scheduler } from '../scheduling/index.js';
import { isSameMember } from './requestId.js';

/** Process in which a request waits for a slot; `member` is undefined for this process. */
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
  lastHeardAt: number;
  countByService: Map<string, number>;
}

/** Chooses the process in which a request waits, by the load that members advertise. */
export class PlacementChooser {
  readonly #deps: PlacementDeps;
  /** Forwards since each member's last heartbeat, which its advertised load does not include. */
  readonly #recent = new Map<string, RecentForwards>();

  constructor(deps: PlacementDeps) {
    this.#deps = deps;
  }

  /**
   * Prefers, in this order: a free slot in this process, in its zone, or in other zones if the
   * service may spill; the shortest queue per slot in this process or its zone; the shortest queue
   * per slot in other zones if the service may spill.
   *
   * @param avoid - names of members to exclude
   * @returns undefined if no usable member owns an executor of the service
   */
  choose(service: Service, avoid: ReadonlySet<string>): Placement | undefined {
    const ownLoad = this.#deps.scheduler.load().find((load) => load.service === service.id);
    if (ownLoad && ownLoad.freeSlots > 0) return {};
    const candidates = this.#candidates(service, avoid);
    const inZone = candidates.filter(({ sameZone }) => sameZone);
    const inOtherZones = candidates.filter(({ sameZone }) => !sameZone);
    const mostFree = this.#pickMostFreeSlots(inZone) ?? this.#pickMostFreeSlots(inOtherZones);
    if (mostFree) return { member: mostFree.member };

    const shortest = this.#pickShortestQueue(inZone);
    if (ownLoad && ownLoad.slots > 0) {
      const ownQueue = ownLoad.queued / ownLoad.slots;
      return shortest && shortest.queuedPerSlot < ownQueue ? { member: shortest.member } : {};
    }
    const queue = shortest ?? this.#pickShortestQueue(inOtherZones);
    return queue && { member: queue.member };
  }

  /** Records that a request was forwarded to a member. */
  onForward(member: MemberInfo, service: string): void {
    const lastHeardAt = this.#deps.membership.member(member.name)?.lastHeardAt;
    if (lastHeardAt === undefined) return;
    let recent = this.#recent.get(member.name);
    if (recent?.lastHeardAt !== lastHeardAt) {
      this.#dropUnknownMembers();
      recent = { lastHeardAt, countByService: new Map() };
      this.#recent.set(member.name, recent);
    }
    recent.countByService.set(service, (recent.countByService.get(service) ?? 0) + 1);
  }

  #candidates(service: Service, avoid: ReadonlySet<string>): Candidate[] {
    const { membership, peers } = this.#deps;
    const connected = new Map(peers.connected().map((info) => [info.name, info]));
    return membership.members().flatMap((member) => {
      const connection = connected.get(member.info.name);
      const isUsable =
        member.state === MemberState.Alive &&
        connection !== undefined &&
        isSameMember(connection, member.info) &&
        !avoid.has(member.info.name);
      const sameZone = member.info.zone === membership.self.zone;
      if (!isUsable || (!sameZone && !service.spill)) return [];
      const load = member.load.find((entry) => entry.service === service.id);
      return load && load.slots > 0 ? [this.#candidate(member, load, sameZone)] : [];
    });
  }

  #candidate(member: Member, load: ServiceLoad, sameZone: boolean): Candidate {
    const recent = this.#recent.get(member.info.name);
    const countByService =
      recent?.lastHeardAt === member.lastHeardAt ? recent.countByService : undefined;
    const recentlyForwarded = countByService?.get(load.service) ?? 0;
    const freeSlots = Math.max(0, load.freeSlots - recentlyForwarded);
    const queued = load.queued + Math.max(0, recentlyForwarded - load.freeSlots);
    return { member: member.info, sameZone, freeSlots, queuedPerSlot: queued / load.slots };
  }

  #pickMostFreeSlots(candidates: Candidate[]): Candidate | undefined {
    const most = Math.max(0, ...candidates.map(({ freeSlots }) => freeSlots));
    return most === 0 ? undefined : this.#pickBest(candidates, (c) => c.freeSlots === most);
  }

  #pickShortestQueue(candidates: Candidate[]): Candidate | undefined {
    const least = Math.min(...candidates.map(({ queuedPerSlot }) => queuedPerSlot));
    return this.#pickBest(candidates, (c) => c.queuedPerSlot === least);
  }

  #pickBest(candidates: Candidate[], isBest: (c: Candidate) => boolean): Candidate | undefined {
    const best = candidates.filter(isBest);
    return best.length === 0 ? undefined : this.#deps.random.pick(best);
  }

  #dropUnknownMembers(): void {
    for (const name of this.#recent.keys()) {
      if (!this.#deps.membership.member(name)) this.#recent.delete(name);
    }
  }
}
