import { Effect } from "effect";

/** Wakes whoever waits for something to change. */
export class ChangeSignal {
  readonly #waiters = new Set<() => void>();

  /** Wakes all that wait now. */
  notify(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Ends with the next change, or after a time. */
  awaitChange(timeoutMs: number): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const wake = () => resume(Effect.void);
      this.#waiters.add(wake);
      return Effect.sync(() => this.#waiters.delete(wake));
    }).pipe(Effect.timeoutOption(timeoutMs), Effect.asVoid);
  }
}
