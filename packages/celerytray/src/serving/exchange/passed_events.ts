import type { StreamEvent } from "./event_splitter.ts";

/** The events that one attempt passed on to its caller, for logs. */
export class PassedEvents {
  #count = 0;
  #withoutId = 0;
  #firstId: number | undefined;
  #lastId: number | undefined;

  note({ id }: Pick<StreamEvent, "id">): void {
    this.#count += 1;
    if (id === undefined) this.#withoutId += 1;
    this.#firstId ??= id;
    this.#lastId = id ?? this.#lastId;
  }

  /** Such as ", events 0 to 3, 1 without an id"; empty if there were none. */
  describe(): string {
    if (this.#count === 0) return "";
    const ids = this.#firstId === undefined
      ? ", events"
      : `, events ${this.#firstId} to ${this.#lastId}`;
    return this.#withoutId === 0
      ? ids
      : `${ids}, ${this.#withoutId} without an id`;
  }
}
