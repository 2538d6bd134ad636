const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Collects the bytes of a body in blocks. The sender decides how many chunks a
 * body has, and an object for each takes over a hundred times the bytes of the
 * smallest.
 */
export class ByteCollector {
  readonly #blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  #lastBytes = 0;
  #bytes = 0;
  #capacityBytes = 0;

  /** Bytes collected. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes of memory taken, which are at most twice as many and one block. */
  get capacityBytes(): number {
    return this.#capacityBytes;
  }

  /** Memory that adding a chunk takes in addition. */
  growthBytes(chunk: Buffer): number {
    const missing = chunk.length - this.#freeBytes;
    return missing <= 0 ? 0 : Math.max(missing, this.#nextBlockBytes);
  }

  /** Copies a chunk, so that what it was read with can be freed. */
  add(chunk: Buffer): void {
    const growthBytes = this.growthBytes(chunk);
    const head = chunk.subarray(0, Math.min(chunk.length, this.#freeBytes));
    this.#append(head);
    if (growthBytes === 0) return;
    this.#blocks.push(Buffer.allocUnsafeSlow(growthBytes));
    this.#lastBytes = 0;
    this.#capacityBytes += growthBytes;
    this.#append(chunk.subarray(head.length));
  }

  /** Returns all bytes in memory of their size, and frees the blocks. */
  take(): Buffer {
    const blocks = [...this.#blocks];
    const isFull = this.#freeBytes === 0;
    const bytes = this.#bytes;
    this.clear();
    return blocks.length === 1 && isFull
      ? blocks[0]!
      : Buffer.concat(blocks, bytes);
  }

  clear(): void {
    this.#blocks.length = 0;
    this.#lastBytes = 0;
    this.#bytes = 0;
    this.#capacityBytes = 0;
  }

  get #freeBytes(): number {
    return (this.#blocks.at(-1)?.length ?? 0) - this.#lastBytes;
  }

  get #nextBlockBytes(): number {
    return Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#bytes));
  }

  #append(bytes: Buffer): void {
    const block = this.#blocks.at(-1);
    if (block === undefined || bytes.length === 0) return;
    bytes.copy(block, this.#lastBytes);
    this.#lastBytes += bytes.length;
    this.#bytes += bytes.length;
  }
}
