/** A block that a replica is believed to have cached. */
export interface Holding {
  readonly replicaId: string;
  readonly source: "event" | "sent";
  /** Generation of the replica's cache state when the holding was recorded. */
  readonly generation: number;
  readonly notedAtMs: number;
}

/** Up to this size a linear scan is cheaper than a map. */
const MAX_SCANNED = 8;

/** Replicas that hold one block. Adds, removes and samples in constant time. */
export class HolderSet {
  readonly #holdings: Holding[] = [];
  #positions: Map<string, number> | undefined;
  #cursor = 0;

  get size(): number {
    return this.#holdings.length;
  }

  get(replicaId: string): Holding | undefined {
    return this.#holdings[this.#find(replicaId)];
  }

  set(holding: Holding): void {
    const position = this.#find(holding.replicaId);
    if (position >= 0) {
      this.#holdings[position] = holding;
      return;
    }
    this.#positions?.set(holding.replicaId, this.#holdings.length);
    this.#holdings.push(holding);
    if (this.#holdings.length > MAX_SCANNED) this.#positions ??= this.#index();
  }

  /** Whether the replica was in the set. */
  delete(replicaId: string): boolean {
    const position = this.#find(replicaId);
    if (position < 0) return false;
    const last = this.#holdings.pop()!;
    if (last.replicaId !== replicaId) {
      this.#holdings[position] = last;
      this.#positions?.set(last.replicaId, position);
    }
    this.#positions?.delete(replicaId);
    return true;
  }

  /** Returns up to `limit` holdings. Further calls continue with others. */
  sample(limit: number): Holding[] {
    const { length } = this.#holdings;
    if (length <= limit) return [...this.#holdings];
    const start = this.#cursor % length;
    this.#cursor = start + limit;
    return Array.from(
      { length: limit },
      (_, step) => this.#holdings[(start + step) % length]!,
    );
  }

  #find(replicaId: string): number {
    if (this.#positions !== undefined) {
      return this.#positions.get(replicaId) ?? -1;
    }
    return this.#holdings.findIndex((holding) =>
      holding.replicaId === replicaId
    );
  }

  #index(): Map<string, number> {
    return new Map(
      this.#holdings.map(({ replicaId }, position) => [replicaId, position]),
    );
  }
}
