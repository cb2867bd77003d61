import type { MemberInfo } from './types.js';

/** Direction of messages as seen from this process. */
export enum PartitionDirection {
  Inbound = 'inbound',
  Outbound = 'outbound',
  Both = 'both',
}

/** Fault switches: directions towards members or zones in which messages are lost. */
export class Cuts {
  readonly #cuts = new Map<string, Set<PartitionDirection>>();

  /** Turns a cut on or off. `target` is the name of a member or of a zone. */
  set(target: string, direction: PartitionDirection, on: boolean): void {
    const directions =
      direction === PartitionDirection.Both
        ? [PartitionDirection.Inbound, PartitionDirection.Outbound]
        : [direction];
    const cut = this.#cuts.get(target) ?? new Set();
    for (const each of directions) {
      if (on) cut.add(each);
      else cut.delete(each);
    }
    if (cut.size > 0) this.#cuts.set(target, cut);
    else this.#cuts.delete(target);
  }

  /** Whether messages in a direction are lost. */
  has(member: MemberInfo, direction: PartitionDirection): boolean {
    return [member.name, member.zone].some((target) => this.#cuts.get(target)?.has(direction));
  }

  /** Whether no new connection can be made, which needs both directions. */
  blocksConnecting(member: MemberInfo): boolean {
    return (
      this.has(member, PartitionDirection.Inbound) || this.has(member, PartitionDirection.Outbound)
    );
  }
}
