import type { EventQueue } from "./event_queue.ts";

/** A request to a virtual engine. */
export interface VirtualRequest {
  readonly prefixHashes: readonly number[];
  readonly outputTokens: number;
  readonly onFirstToken: (
    token: { readonly nowMs: number; readonly cachedBlocks: number },
  ) => void;
}

/** Blocks that were stored in or removed from an engine's prefix cache. */
export interface VirtualCacheChange {
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly removed: readonly number[];
}

export interface VirtualEngineOptions {
  readonly queue: EventQueue;
  readonly maxRunning: number;
  readonly cacheBlocks: number;
  readonly prefillMsPerBlock: number;
  readonly tokenIntervalMs: number;
  readonly onCacheChange: (change: VirtualCacheChange) => void;
}

/**
 * Simulated engine: prefills one prompt at a time, decodes many concurrently,
 * queues the rest and caches prefixes.
 */
export class VirtualEngine {
  readonly #options: VirtualEngineOptions;
  #waiting: VirtualRequest[] = [];
  #waitingStart = 0;
  readonly #cache = new Set<number>();
  #running = 0;
  #isPrefilling = false;
  #sequence = 0;

  constructor(options: VirtualEngineOptions) {
    this.#options = options;
  }

  /** Number of running and waiting requests. */
  get requests(): number {
    return this.#running + this.waiting;
  }

  get waiting(): number {
    return this.#waiting.length - this.#waitingStart;
  }

  submit(request: VirtualRequest): void {
    this.#waiting.push(request);
    this.#startNext();
  }

  #startNext(): void {
    const { maxRunning, prefillMsPerBlock, queue } = this.#options;
    if (this.#isPrefilling || this.#running >= maxRunning) return;
    const request = this.#takeWaiting();
    if (request === undefined) return;
    this.#isPrefilling = true;
    this.#running += 1;
    const cachedBlocks = this.#countCached(request.prefixHashes);
    const blocks = request.prefixHashes.length - cachedBlocks;
    const prefillMs = Math.max(1, blocks) * prefillMsPerBlock;
    queue.schedule(queue.nowMs + prefillMs, (nowMs) => {
      this.#isPrefilling = false;
      this.#store(request.prefixHashes);
      request.onFirstToken({ nowMs, cachedBlocks });
      this.#decode(request);
      this.#startNext();
    });
  }

  #takeWaiting(): VirtualRequest | undefined {
    const request = this.#waiting[this.#waitingStart];
    if (request === undefined) return undefined;
    this.#waitingStart += 1;
    if (this.#waitingStart === this.#waiting.length) {
      this.#waiting = [];
      this.#waitingStart = 0;
    }
    return request;
  }

  #decode(request: VirtualRequest): void {
    const { queue, tokenIntervalMs } = this.#options;
    const decodeMs = request.outputTokens * tokenIntervalMs;
    queue.schedule(queue.nowMs + decodeMs, () => {
      this.#running -= 1;
      this.#startNext();
    });
  }

  #countCached(hashes: readonly number[]): number {
    const missing = hashes.findIndex((hash) => !this.#cache.has(hash));
    return missing < 0 ? hashes.length : missing;
  }

  #store(hashes: readonly number[]): void {
    const stored = hashes.filter((hash) => !this.#cache.has(hash));
    for (const hash of hashes.toReversed()) {
      this.#cache.delete(hash);
      this.#cache.add(hash);
    }
    const removed: number[] = [];
    for (const hash of this.#cache) {
      if (this.#cache.size <= this.#options.cacheBlocks) break;
      this.#cache.delete(hash);
      removed.push(hash);
    }
    if (stored.length === 0 && removed.length === 0) return;
    this.#sequence += 1;
    this.#options.onCacheChange({
      sequence: this.#sequence,
      stored,
      removed,
    });
  }
}
