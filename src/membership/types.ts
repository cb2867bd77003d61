import type { MemberInfo, ServiceLoad, DrainingVm } from '../peers/types.js';

/** State of a member as observed by this process. */
export enum MemberState {
  Alive = 'alive',
  /**
   * Not heard for a while, or does not hear this process; receives no forwarded work and owns no
   * executors.
   */
  Suspect = 'suspect',
}

/** A member as observed by this process. */
export interface Member {
  info: MemberInfo;
  state: MemberState;
  /** Monotonic time at which the member was last heard. */
  lastHeardAt: number;
  configVersion: number;
  load: readonly ServiceLoad[];
  draining: readonly DrainingVm[];
}

/** Read access to the known members and to the ownership of executors. */
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
