import type { MemberInfo } from './types.js';

/** Direction of the dropped messages, as seen from this process. */
export enum PartitionDirection {
  Inbound = 'inbound',
  Outbound = 'outbound',
  Both = 'both',
}

/**
 * Fault injection: simulates network partitions by dropping messages from or to a member or a zone.
 */
export class SimulatedPartitions {
  readonly #directionsByTarget = new Map<string, Set<PartitionDirection>>();

  /** Turns a simulated partition on or off. `target` is the name of a member or a zone. */
  set(target: string, direction: PartitionDirection, on: boolean): void {
    const directions =
      direction === PartitionDirection.Both
        ? [PartitionDirection.Inbound, PartitionDirection.Outbound]
        : [direction];
    const blockedDirections = this.#directionsByTarget.get(target) ?? new Set();
    for (const each of directions) {
      if (on) blockedDirections.add(each);
      else blockedDirections.delete(each);
    }
    if (blockedDirections.size > 0) this.#directionsByTarget.set(target, blockedDirections);
    else this.#directionsByTarget.delete(target);
  }

  /** Whether messages from or to a member are dropped; `direction` is Inbound or Outbound. */
  dropsMessages(member: MemberInfo, direction: PartitionDirection): boolean {
    return [member.name, member.zone].some((target) =>
      this.#directionsByTarget.get(target)?.has(direction),
    );
  }

  /** Whether new connections are blocked. One blocked direction suffices to prevent a handshake. */
  blocksConnecting(member: MemberInfo): boolean {
    return (
      this.dropsMessages(member, PartitionDirection.Inbound) ||
      this.dropsMessages(member, PartitionDirection.Outbound)
    );
  }
}
