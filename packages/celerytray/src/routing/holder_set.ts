/** What is known of one replica's copy of a block. */
export interface Holding {
  readonly source: "event" | "sent";
  /** Doubt of the replica when the holding was noted. */
  readonly doubtCount: number;
  readonly notedAtMs: number;
}

/** Replicas that hold one block; adds, removes and samples in constant time. */
export class HolderSet {
  readonly #ids: string[] = [];
  readonly #positions = new Map<string, number>();
  readonly #holdings = new Map<string, Holding>();
  #cursor = 0;

  get size(): number {
    return this.#ids.length;
  }

  get(replicaId: string): Holding | undefined {
    return this.#holdings.get(replicaId);
  }

  set(replicaId: string, holding: Holding): void {
    this.#holdings.set(replicaId, holding);
    if (this.#positions.has(replicaId)) return;
    this.#positions.set(replicaId, this.#ids.length);
    this.#ids.push(replicaId);
  }

  /** Whether it was there. */
  delete(replicaId: string): boolean {
    const position = this.#positions.get(replicaId);
    if (position === undefined) return false;
    const last = this.#ids.pop()!;
    if (last !== replicaId) {
      this.#ids[position] = last;
      this.#positions.set(last, position);
    }
    this.#positions.delete(replicaId);
    this.#holdings.delete(replicaId);
    return true;
  }

  /** Up to `limit` replicas; further calls go on with others. */
  sample(limit: number): string[] {
    const { length } = this.#ids;
    if (length <= limit) return [...this.#ids];
    const start = this.#cursor % length;
    this.#cursor = start + limit;
    return Array.from(
      { length: limit },
      (_, step) => this.#ids[(start + step) % length]!,
    );
  }
}
