const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Chooses the owner of a key by rendezvous hashing: the name with the highest score for the key
 * owns it, so that adding or removing a name moves only the keys that this name owns.
 *
 * @returns the name of the owner, or undefined if there are no names
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

/** Score of a name for a key, from 0 to 2^32 - 1; the same in every process. */
export function rendezvousScore(name: string, key: string): number {
  return hash(`${name}/${key}`);
}

/** FNV-1a over UTF-16 code units, with the MurmurHash3 finalizer to spread similar names evenly. */
function hash(text: string): number {
  let h = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
