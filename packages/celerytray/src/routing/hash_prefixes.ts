import { hashText } from "./hash_text.ts";

/** Options of prefix hashing. */
export interface HashPrefixesOptions {
  /**
   * Context that a cached prefix is specific to, for example model and adapter.
   */
  readonly scope: string;
  readonly blockChars?: number;
  readonly maxBlocks?: number;
}

const DEFAULT_BLOCK_CHARS = 512;
const DEFAULT_MAX_BLOCKS = 32;

/**
 * Returns the cumulative hashes of a prompt's complete blocks. Two prompts
 * share the n-th hash if their first n blocks are equal.
 */
export function hashPrefixes(
  prompt: string,
  options: HashPrefixesOptions,
): number[] {
  const blockChars = options.blockChars ?? DEFAULT_BLOCK_CHARS;
  const maxBlocks = options.maxBlocks ?? DEFAULT_MAX_BLOCKS;
  const count = Math.min(maxBlocks, Math.floor(prompt.length / blockChars));
  const hashes: number[] = [];
  let hash = hashText(options.scope);
  for (let index = 0; index < count; index++) {
    const start = index * blockChars;
    hash = hashText(prompt.slice(start, start + blockChars), hash);
    hashes.push(hash);
  }
  return hashes;
}
