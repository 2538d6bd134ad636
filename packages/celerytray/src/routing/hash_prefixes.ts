import { hashText } from "./hash_text.ts";

/** Options of the hashing of a prompt. */
export interface HashPrefixesOptions {
  /** What a cached prefix is specific to, for example model and adapter. */
  readonly scope: string;
  readonly blockChars?: number;
  readonly maxBlocks?: number;
}

const DEFAULT_BLOCK_CHARS = 512;
const DEFAULT_MAX_BLOCKS = 32;

/**
 * Cumulative hashes of a prompt's whole blocks: two prompts share the n-th
 * hash when their first n blocks are equal.
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
