const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Chooses the owner of a key among names by rendezvous hashing: each name scores the key and the
 * highest score wins, so that a change of one name moves only the keys of this name.
 *
 * @returns undefined when there are no names
 */
export function rendezvousOwner(names: readonly string[], key: string): string | undefined {
  let owner: string | undefined;
  let bestScore = -1;
  for (const name of names) {
    const score = rendezvousScore(name, key);
    if (score > bestScore || (score === bestScore && owner !== undefined && name < owner)) {
      owner = name;
      bestScore = score;
    }
  }
  return owner;
}

/** Weight of a name for a key, from 0 to 2^32 - 1; the same on every process. */
export function rendezvousScore(name: string, key: string): number {
  return hash(`${name}/${key}`);
}

/** FNV-1a over UTF-16 units with the final mix of MurmurHash3, which spreads similar names. */
function hash(text: string): number {
  let h = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
