import type { MemberInfo, ServiceLoad, DrainingVm } from '../peers/types.js';

/** How a member is seen from this process. */
export enum MemberState {
  Alive = 'alive',
  /** Silent for a while; gets no forwarded work and owns no executors. */
  Suspect = 'suspect',
}

/** A member as seen from this process. */
export interface Member {
  info: MemberInfo;
  state: MemberState;
  /** Monotonic time of the last sign of life. */
  lastHeardAt: number;
  configVersion: number;
  load: readonly ServiceLoad[];
  draining: readonly DrainingVm[];
}

/** Read access to the membership, and the choice of executor owners. */
export interface Membership {
  readonly self: MemberInfo;
  /** All known members except this process. */
  members(): readonly Member[];
  member(name: string): Member | undefined;
  /** Alive members of a zone, including this process if it is in that zone. */
  liveMembers(zone: string): readonly MemberInfo[];
  /** Name of the member that owns an executor: rendezvous hash over the zone's live members. */
  ownerOf(zone: string, vm: string): string | undefined;
}
