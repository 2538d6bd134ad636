import type { RecordEvent } from "../journal/index.ts";

/** Options of the view of the way to the store. */
export interface StoreContactOptions {
  /** What is read from the store. */
  readonly topic: "config" | "instances";
  readonly record: RecordEvent;
}

/** When the store answered reads of a topic, and whether it does now. */
export class StoreContact {
  readonly #options: StoreContactOptions;
  #answeredAtMs = 0;
  #isAnswering = false;

  constructor(options: StoreContactOptions) {
    this.#options = options;
  }

  /** Time of the last answer. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  noteAnswer(nowMs: number): void {
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
