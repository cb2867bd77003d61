import { Holding } from './types.js';

/** Something that holds bytes and can be made to release them. */
export interface ByteHolder {
  /** Whether the bytes can be released by closing the holder, without losing work in progress. */
  canRelease(holding: Holding): boolean;
  /** Closes the holder because the bytes are needed for others. */
  releaseFor(holding: Holding): void;
}

type HeldBytes = Record<Holding, number>;

const nothing = (): HeldBytes => ({
  [Holding.Headers]: 0,
  [Holding.Body]: 0,
  [Holding.ReadAhead]: 0,
});

/**
 * Counts the bytes that connections hold, and keeps the total of each kind below its limit. Where the
 * limit is reached, holders that wait for their caller are closed, the one that has waited longest
 * first. A caller that completes its requests therefore gets room before one that does not.
 */
export class HeldByteTable {
  readonly #limit: (holding: Holding) => number;
  /** The holders, ordered by the time since which they have been in their present phase. */
  readonly #holders = new Map<ByteHolder, HeldBytes>();
  readonly #totals = nothing();

  /** @param limit - maximum total of a kind, in bytes */
  constructor(limit: (holding: Holding) => number) {
    this.#limit = limit;
  }

  get size(): number {
    return this.#holders.size;
  }

  /** Total of a kind, in bytes. */
  total(holding: Holding): number {
    return this.#totals[holding];
  }

  /** The holders, the one that has been longest in its present phase first. */
  holders(): Iterable<ByteHolder> {
    return this.#holders.keys();
  }

  add(holder: ByteHolder): void {
    this.#holders.set(holder, nothing());
  }

  /** Moves a holder to the end of the order, because it has entered another phase. */
  restart(holder: ByteHolder): void {
    const held = this.#holders.get(holder);
    if (!held) return;
    this.#holders.delete(holder);
    this.#holders.set(holder, held);
  }

  /** Removes a holder with all that it holds. */
  remove(holder: ByteHolder): void {
    const held = this.#holders.get(holder);
    if (!held) return;
    for (const holding of Object.values(Holding)) this.#totals[holding] -= held[holding];
    this.#holders.delete(holder);
  }

  /**
   * Changes what a holder holds by a number of bytes. To make room, others may be closed.
   *
   * @returns false if there is no room; the holder then holds as much as before
   */
  change(holder: ByteHolder, holding: Holding, bytes: number): boolean {
    const held = this.#holders.get(holder);
    if (!held) return false;
    if (bytes > 0 && !this.#makeRoom(holder, holding, bytes)) return false;
    held[holding] += bytes;
    this.#totals[holding] += bytes;
    return true;
  }

  #makeRoom(holder: ByteHolder, holding: Holding, bytes: number): boolean {
    let excess = this.#totals[holding] + bytes - this.#limit(holding);
    if (excess <= 0) return true;
    const released: ByteHolder[] = [];
    for (const [other, held] of this.#holders) {
      if (other === holder || held[holding] === 0 || !other.canRelease(holding)) continue;
      released.push(other);
      excess -= held[holding];
      if (excess <= 0) break;
    }
    if (excess > 0) return false;
    for (const other of released) other.releaseFor(holding);
    return true;
  }
}
