/** What is known of one replica's copy of a block. */
export interface Holding {
  readonly replicaId: string;
  readonly source: "event" | "sent";
  /** Doubt of the replica when the holding was noted. */
  readonly doubtCount: number;
  readonly notedAtMs: number;
}

/** Below this size a scan is cheaper than a map. */
const MAX_SCANNED = 8;

/** Replicas that hold one block; adds, removes and samples in constant time. */
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

  /** Whether it was there. */
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

  /** Up to `limit` holdings; further calls go on with others. */
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
