const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const AVALANCHE_FIRST = 0x85ebca6b;
const AVALANCHE_SECOND = 0xc2b2ae35;

/** Returns an unsigned 32-bit hash of a text. `seed` chains hashes. */
export function hashText(text: string, seed: number = FNV_OFFSET): number {
  let hash = seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixHash(hash);
}

/** Spreads the bits of a 32-bit number evenly. */
export function mixHash(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), AVALANCHE_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), AVALANCHE_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
}
