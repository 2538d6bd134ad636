/** Options of the view of the way to the store. */
export interface StoreContactOptions {
  /** What is read from the store. */
  readonly topic: string;
  readonly record: (kind: string, fields: Record<string, unknown>) => void;
}

/** When the store answered reads of a topic, and since when without a break. */
export class StoreContact {
  readonly #options: StoreContactOptions;
  #answeredAtMs = 0;
  #steadySinceMs: number | undefined;

  constructor(options: StoreContactOptions) {
    this.#options = options;
  }

  /** Time of the last answer. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /** Time since which no call failed; undefined while calls fail. */
  get steadySinceMs(): number | undefined {
    return this.#steadySinceMs;
  }

  noteAnswer(nowMs: number): void {
    this.#answeredAtMs = nowMs;
    if (this.#steadySinceMs !== undefined) return;
    this.#steadySinceMs = nowMs;
    const { topic, record } = this.#options;
    record("store.regained", { topic });
  }

  noteFailure(message: string, nowMs: number): void {
    const answeredAgoMs = nowMs - this.#answeredAtMs;
    if (this.#steadySinceMs !== undefined) {
      const { topic, record } = this.#options;
      record("store.lost", { topic, message, answeredAgoMs });
    }
    this.#steadySinceMs = undefined;
  }
}
