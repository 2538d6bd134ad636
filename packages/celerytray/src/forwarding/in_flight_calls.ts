import { Deferred, Effect } from "effect";

/** Counts the calls in flight, so that a shutdown can wait for them. */
export class InFlightCalls {
  #count = 0;
  #empty: Deferred.Deferred<void> | undefined;

  /** Calls in flight now. */
  get count(): number {
    return this.#count;
  }

  begin(): void {
    this.#count += 1;
  }

  end(): void {
    this.#count -= 1;
    if (this.#count > 0 || this.#empty === undefined) return;
    Deferred.doneUnsafe(this.#empty, Effect.void);
    this.#empty = undefined;
  }

  /** Waits until no call is in flight. */
  waitUntilEmpty(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#count === 0) return Effect.void;
      this.#empty ??= Deferred.makeUnsafe<void>();
      return Deferred.await(this.#empty);
    });
  }
}
