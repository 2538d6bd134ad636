import type { RecordEvent } from "../journal/index.ts";

/** Options of a store contact. */
export interface StoreContactOptions {
  /** Topic that is read from the store. */
  readonly topic: "config" | "instances";
  readonly record: RecordEvent;
}

/** Tracks whether the store responds to reads of a topic, and logs changes. */
export class StoreContact {
  readonly #options: StoreContactOptions;
  #answeredAtMs = 0;
  #isAnswering = false;

  constructor(options: StoreContactOptions) {
    this.#options = options;
  }

  /** Time of the last response. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  noteResponse(nowMs: number): void {
    this.#answeredAtMs = nowMs;
    if (this.#isAnswering) return;
    this.#isAnswering = true;
    const { topic, record } = this.#options;
    record("store.regained", { topic });
  }

  noteFailure(message: string, nowMs: number): void {
    const answeredAgoMs = nowMs - this.#answeredAtMs;
    if (this.#isAnswering) {
      const { topic, record } = this.#options;
      record("store.lost", { topic, message, answeredAgoMs });
    }
    this.#isAnswering = false;
  }
}
