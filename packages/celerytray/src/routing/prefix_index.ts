import { HolderSet, type Holding } from "./holder_set.ts";

/** How far the index may be trusted on a cached block. */
export type PrefixTrust = "confirmed" | "expected" | "doubtful";

/** A replica that may hold a prompt's prefix. */
export interface PrefixHolder {
  readonly replicaId: string;
  /** Blocks from the prompt's start that it may hold. */
  readonly blockCount: number;
  readonly trust: PrefixTrust;
  readonly ageMs: number;
}

/** What an engine published of its prefix cache. */
export interface CacheEvent {
  readonly replicaId: string;
  /** Changes when the engine starts anew, with an empty cache. */
  readonly bootId: string;
  /** Rises by one with each event of a boot. */
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly removed: readonly number[];
  readonly nowMs: number;
}

/** Options of an index. */
export interface PrefixIndexOptions {
  /** Pairs of block and replica kept; blocks unused longest go first. */
  readonly maxHoldings?: number;
  /** Replicas returned for one prompt. */
  readonly maxHoldersFound?: number;
  /** Age above which a claim is doubtful. */
  readonly maxTrustedAgeMs?: number;
}

interface ReplicaEvents {
  bootId: string;
  sequence: number;
  /** Rises when what was known may have been missed. */
  doubtCount: number;
}

const DEFAULTS: Required<PrefixIndexOptions> = {
  maxHoldings: 100_000,
  maxHoldersFound: 8,
  maxTrustedAgeMs: 60_000,
};

const KEPT_SHARE = 0.9;

/** Which replicas may hold which prompt prefixes, with age and doubt. */
export class PrefixIndex {
  readonly #options: Required<PrefixIndexOptions>;
  /** In order of use, so that the first is the one to drop. */
  readonly #holdings = new Map<number, HolderSet>();
  #holdingCount = 0;
  readonly #events = new Map<string, ReplicaEvents>();

  constructor(options: PrefixIndexOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Pairs of block and replica kept now. */
  get size(): number {
    return this.#holdingCount;
  }

  /** Notes that a prompt was sent, so that its blocks will be cached. */
  noteSent(
    replicaId: string,
    sent: { readonly prefixHashes: readonly number[]; readonly nowMs: number },
  ): void {
    const doubtCount = this.#doubtOf(replicaId);
    const notedAtMs = sent.nowMs;
    const holding: Holding = {
      replicaId,
      source: "sent",
      doubtCount,
      notedAtMs,
    };
    for (const hash of sent.prefixHashes) {
      const known = this.#holdings.get(hash)?.get(replicaId);
      if (known !== undefined && this.#isConfirmed(known)) {
        this.#touch(hash);
        continue;
      }
      this.#hold(hash, holding);
    }
  }

  /** Applies a cache event; a gap before it puts older claims in doubt. */
  noteEvent(event: CacheEvent): void {
    const { replicaId, bootId, sequence, nowMs } = event;
    const known = this.#events.get(replicaId);
    const isLate = known?.bootId === bootId && sequence <= known.sequence;
    if (isLate) return;
    const isNext = known?.bootId === bootId && sequence === known.sequence + 1;
    const doubtCount = (known?.doubtCount ?? 0) + (isNext ? 0 : 1);
    this.#events.set(replicaId, { bootId, sequence, doubtCount });
    for (const hash of event.removed) this.#drop(hash, replicaId);
    const holding: Holding = {
      replicaId,
      source: "event",
      doubtCount,
      notedAtMs: nowMs,
    };
    for (const hash of event.stored) this.#hold(hash, holding);
  }

  /** Forgets a replica that is gone; its holdings fall out by age of use. */
  forgetReplica(replicaId: string): void {
    const known = this.#events.get(replicaId);
    if (known === undefined) return;
    known.doubtCount += 1;
    known.bootId = "";
  }

  /** Replicas that hold most of a prompt's prefix, longest first. */
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
          trust: this.#judge(holding, nowMs),
          ageMs: Math.max(0, nowMs - holding.notedAtMs),
        });
      }
    }
    return [...found.values()];
  }

  #judge(holding: Holding, nowMs: number): PrefixTrust {
    const isOld = nowMs - holding.notedAtMs > this.#options.maxTrustedAgeMs;
    if (isOld || holding.doubtCount !== this.#doubtOf(holding.replicaId)) {
      return "doubtful";
    }
    return holding.source === "event" ? "confirmed" : "expected";
  }

  #isConfirmed(holding: Holding): boolean {
    return holding.source === "event" &&
      holding.doubtCount === this.#doubtOf(holding.replicaId);
  }

  #doubtOf(replicaId: string): number {
    return this.#events.get(replicaId)?.doubtCount ?? 0;
  }

  #hold(hash: number, holding: Holding): void {
    const holders = this.#touch(hash);
    const before = holders.size;
    holders.set(holding);
    this.#holdingCount += holders.size - before;
    if (this.#holdingCount > this.#options.maxHoldings) this.#dropUnused();
  }

  #drop(hash: number, replicaId: string): void {
    const holders = this.#holdings.get(hash);
    if (holders?.delete(replicaId) !== true) return;
    this.#holdingCount -= 1;
    if (holders.size === 0) this.#holdings.delete(hash);
  }

  /** Drops many at a time: to find the first key of a map can be slow. */
  #dropUnused(): void {
    const kept = Math.floor(this.#options.maxHoldings * KEPT_SHARE);
    for (const [hash, holders] of this.#holdings) {
      if (this.#holdingCount <= kept) return;
      this.#holdingCount -= holders.size;
      this.#holdings.delete(hash);
    }
  }

  #touch(hash: number): HolderSet {
    const holders = this.#holdings.get(hash) ?? new HolderSet();
    this.#holdings.delete(hash);
    this.#holdings.set(hash, holders);
    return holders;
  }
}
