/** Remembers for some time when parts of prompts were last seen. */
export class RecentParts {
  readonly #maxParts: number;
  readonly #maxAgeMs: number;
  /** In order of the last sighting. */
  readonly #seenAtMs = new Map<string, number>();

  constructor(
    options: { readonly maxParts: number; readonly maxAgeMs: number },
  ) {
    this.#maxParts = options.maxParts;
    this.#maxAgeMs = options.maxAgeMs;
  }

  note(part: string, nowMs: number): void {
    this.#seenAtMs.delete(part);
    this.#seenAtMs.set(part, nowMs);
    for (const [oldest, atMs] of this.#seenAtMs) {
      const isKept = this.#seenAtMs.size <= this.#maxParts &&
        nowMs - atMs <= this.#maxAgeMs;
      if (isKept) break;
      this.#seenAtMs.delete(oldest);
    }
  }

  forget(part: string): void {
    this.#seenAtMs.delete(part);
  }

  /** Time of the last sighting; undefined if it is too long ago. */
  find(part: string, nowMs: number): number | undefined {
    const atMs = this.#seenAtMs.get(part);
    return atMs !== undefined && nowMs - atMs <= this.#maxAgeMs
      ? atMs
      : undefined;
  }

  has(part: string, nowMs: number): boolean {
    return this.find(part, nowMs) !== undefined;
  }

  list(nowMs: number): readonly string[] {
    return [...this.#seenAtMs.keys()].filter((part) => this.has(part, nowMs));
  }
}
