import { randomBytes } from 'node:crypto';

/** Source of pseudo-random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, limit). */
  integer(limit: number): number;
  /** Returns a random element of a non-empty list. */
  pick<T>(items: readonly T[]): T;
  /** Returns a shuffled copy (Fisher-Yates). */
  shuffle<T>(items: readonly T[]): T[];
  /** Returns a sample of the exponential distribution with the given mean. */
  exponential(mean: number): number;
}

/** Creates a deterministic generator (mulberry32) from a 32-bit seed; not for cryptographic use. */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }
  const integer = (limit: number) => Math.floor(next() * limit);
  return {
    next,
    integer,
    pick: (items) => items[integer(items.length)] as (typeof items)[number],
    shuffle: (items) => {
      const copy = [...items];
      for (let i = copy.length - 1; i > 0; i--) {
        const j = integer(i + 1);
        [copy[i], copy[j]] = [copy[j] as (typeof copy)[number], copy[i] as (typeof copy)[number]];
      }
      return copy;
    },
    exponential: (mean) => -mean * Math.log(1 - next()),
  };
}

/** Returns a seed from the random source of the operating system, for production use. */
export function systemSeed(): number {
  return randomBytes(4).readUInt32LE();
}
