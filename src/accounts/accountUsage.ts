import { dominantShare, perWeight, type ResourceAmounts } from './shares.js';

/** Capacity of a pool that each account holds, including what it was given in this round. */
export class AccountUsage {
  /** Capacity of the pool. */
  readonly pool: ResourceAmounts;
  readonly #weightOf: (account: string) => number;
  readonly #held = new Map<string, ResourceAmounts>();

  constructor(pool: ResourceAmounts, weightOf: (account: string) => number) {
    this.pool = pool;
    this.#weightOf = weightOf;
  }

  /** Adds the needs of a run to what an account holds. */
  add(account: string, needs: ResourceAmounts, hasReservedCpu: boolean): void {
    let held = this.#held.get(account);
    if (!held) this.#held.set(account, (held = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }));
    if (hasReservedCpu) held.cpuMillis += needs.cpuMillis;
    held.memoryMb += needs.memoryMb;
    held.accelerators += needs.accelerators;
  }

  /** Dominant share of the pool that an account holds, from 0 to 1. */
  shareOf(account: string): number {
    const held = this.#held.get(account);
    return held ? dominantShare(held, this.pool) : 0;
  }

  /** Dominant share per unit of weight; the account with the lowest value is served next. */
  sharePerWeight(account: string): number {
    return perWeight(this.shareOf(account), this.#weightOf(account));
  }

  /** Accounts that hold something, with their dominant shares. */
  *shares(): Generator<[account: string, share: number]> {
    for (const account of this.#held.keys()) yield [account, this.shareOf(account)];
  }
}
