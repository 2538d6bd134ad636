import { Effect } from "effect";

/** Notifies waiting fibers of a change. */
export class ChangeSignal {
  readonly #waiters = new Set<() => void>();

  notify(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Waits for the next change, at most `timeoutMs`. */
  awaitChange(timeoutMs: number): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const wake = () => resume(Effect.void);
      this.#waiters.add(wake);
      return Effect.sync(() => this.#waiters.delete(wake));
    }).pipe(Effect.timeoutOption(timeoutMs), Effect.asVoid);
  }
}
