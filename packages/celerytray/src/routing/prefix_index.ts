import { HolderSet, type Holding } from "./holder_set.ts";

/** Confidence that a block is cached. */
export type PrefixTrust = "confirmed" | "expected" | "doubtful";

/** A replica that may hold a prompt's prefix. */
export interface PrefixHolder {
  readonly replicaId: string;
  /** Number of blocks from the start of the prompt that it may hold. */
  readonly blockCount: number;
  readonly trust: PrefixTrust;
  readonly ageMs: number;
}

/** A prefix cache event published by an engine. */
export interface CacheEvent {
  readonly replicaId: string;
  /** Changes when the engine restarts with an empty cache. */
  readonly bootId: string;
  /** Increases by one with each event of a boot. */
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly removed: readonly number[];
  readonly nowMs: number;
}

/** Options of a prefix index. */
export interface PrefixIndexOptions {
  /**
   * Number of pairs of block and replica that are kept. Least recently used
   * blocks are evicted first.
   */
  readonly maxHoldings?: number;
  /** Replicas returned for one prompt. */
  readonly maxHoldersFound?: number;
  /** Age above which a holding is doubtful. */
  readonly maxTrustedAgeMs?: number;
}

interface EventState {
  bootId: string;
  sequence: number;
  /** Increases when changes of the cache may have been missed. */
  generation: number;
}

const DEFAULTS: Required<PrefixIndexOptions> = {
  maxHoldings: 100_000,
  maxHoldersFound: 8,
  maxTrustedAgeMs: 60_000,
};

const RETAINED_SHARE = 0.9;

/**
 * Index of the replicas that may hold each prompt prefix, with age and
 * confidence.
 */
export class PrefixIndex {
  readonly #options: Required<PrefixIndexOptions>;
  /** Ordered by use, least recent first. */
  readonly #holdings = new Map<number, HolderSet>();
  #holdingCount = 0;
  readonly #events = new Map<string, EventState>();

  constructor(options: PrefixIndexOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Number of pairs of block and replica in the index. */
  get size(): number {
    return this.#holdingCount;
  }

  /**
   * Records that a prompt was sent, so that its blocks are expected to be
   * cached.
   */
  noteSent(
    replicaId: string,
    sent: { readonly prefixHashes: readonly number[]; readonly nowMs: number },
  ): void {
    const generation = this.#generationOf(replicaId);
    const notedAtMs = sent.nowMs;
    const holding: Holding = {
      replicaId,
      source: "sent",
      generation,
      notedAtMs,
    };
    for (const hash of sent.prefixHashes) {
      const known = this.#holdings.get(hash)?.get(replicaId);
      if (known !== undefined && this.#isConfirmed(known)) {
        this.#markUsed(hash);
        continue;
      }
      this.#addHolding(hash, holding);
    }
  }

  /** Applies a cache event. A gap before it makes older holdings doubtful. */
  noteEvent(event: CacheEvent): void {
    const { replicaId, bootId, sequence, nowMs } = event;
    const known = this.#events.get(replicaId);
    const isLate = known?.bootId === bootId && sequence <= known.sequence;
    if (isLate) return;
    const isNext = known?.bootId === bootId && sequence === known.sequence + 1;
    const generation = (known?.generation ?? 0) + (isNext ? 0 : 1);
    this.#events.set(replicaId, { bootId, sequence, generation });
    for (const hash of event.removed) this.#removeHolding(hash, replicaId);
    const holding: Holding = {
      replicaId,
      source: "event",
      generation,
      notedAtMs: nowMs,
    };
    for (const hash of event.stored) this.#addHolding(hash, holding);
  }

  /**
   * Marks the holdings of a removed replica as doubtful. They are evicted in
   * order of use.
   */
  forgetReplica(replicaId: string): void {
    const known = this.#events.get(replicaId);
    if (known === undefined) return;
    known.generation += 1;
    known.bootId = "";
  }

  /** Finds replicas that hold part of a prompt's prefix, longest part first. */
  findHolders(
    prefixHashes: readonly number[],
    nowMs: number,
  ): PrefixHolder[] {
    const { maxHoldersFound } = this.#options;
    const found = new Map<string, PrefixHolder>();
    for (let index = prefixHashes.length - 1; index >= 0; index--) {
      const holders = this.#holdings.get(prefixHashes[index]!);
      if (holders === undefined) continue;
      for (const holding of holders.sample(maxHoldersFound)) {
        const { replicaId } = holding;
        if (found.size >= maxHoldersFound) return [...found.values()];
        if (found.has(replicaId)) continue;
        found.set(replicaId, {
          replicaId,
          blockCount: index + 1,
          trust: this.#trustOf(holding, nowMs),
          ageMs: Math.max(0, nowMs - holding.notedAtMs),
        });
      }
    }
    return [...found.values()];
  }

  #trustOf(holding: Holding, nowMs: number): PrefixTrust {
    const isOld = nowMs - holding.notedAtMs > this.#options.maxTrustedAgeMs;
    if (isOld || holding.generation !== this.#generationOf(holding.replicaId)) {
      return "doubtful";
    }
    return holding.source === "event" ? "confirmed" : "expected";
  }

  #isConfirmed(holding: Holding): boolean {
    return holding.source === "event" &&
      holding.generation === this.#generationOf(holding.replicaId);
  }

  #generationOf(replicaId: string): number {
    return this.#events.get(replicaId)?.generation ?? 0;
  }

  #addHolding(hash: number, holding: Holding): void {
    const holders = this.#markUsed(hash);
    const before = holders.size;
    holders.set(holding);
    this.#holdingCount += holders.size - before;
    if (this.#holdingCount > this.#options.maxHoldings) this.#evictOldest();
  }

  #removeHolding(hash: number, replicaId: string): void {
    const holders = this.#holdings.get(hash);
    if (holders?.delete(replicaId) !== true) return;
    this.#holdingCount -= 1;
    if (holders.size === 0) this.#holdings.delete(hash);
  }

  /**
   * Evicts many blocks at a time, as finding the first key of a map can be
   * slow.
   */
  #evictOldest(): void {
    const retained = Math.floor(this.#options.maxHoldings * RETAINED_SHARE);
    for (const [hash, holders] of this.#holdings) {
      if (this.#holdingCount <= retained) return;
      this.#holdingCount -= holders.size;
      this.#holdings.delete(hash);
    }
  }

  #markUsed(hash: number): HolderSet {
    const holders = this.#holdings.get(hash) ?? new HolderSet();
    this.#holdings.delete(hash);
    this.#holdings.set(hash, holders);
    return holders;
  }
}
