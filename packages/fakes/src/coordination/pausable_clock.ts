import { type Clock, type Duration, Effect } from "effect";

/** A clock whose sleeps don't return while it is paused; its time goes on. */
export class PausableClock implements Clock.Clock {
  readonly currentTimeMillis: Effect.Effect<number>;
  readonly currentTimeNanos: Effect.Effect<bigint>;
  readonly monotonicTimeNanos: Effect.Effect<bigint>;
  readonly #clock: Clock.Clock;
  readonly #waiters = new Set<() => void>();
  #isPaused = false;

  constructor(clock: Clock.Clock) {
    this.#clock = clock;
    this.currentTimeMillis = clock.currentTimeMillis;
    this.currentTimeNanos = clock.currentTimeNanos;
    this.monotonicTimeNanos = clock.monotonicTimeNanos;
  }

  currentTimeMillisUnsafe(): number {
    return this.#clock.currentTimeMillisUnsafe();
  }

  currentTimeNanosUnsafe(): bigint {
    return this.#clock.currentTimeNanosUnsafe();
  }

  monotonicTimeNanosUnsafe(): bigint {
    return this.#clock.monotonicTimeNanosUnsafe();
  }

  sleep(duration: Duration.Duration): Effect.Effect<void> {
    return Effect.andThen(
      this.#clock.sleep(duration),
      Effect.suspend(() => this.#isPaused ? this.#awaitResumed() : Effect.void),
    );
  }

  /** Holds back sleeps that expire from now on. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Releases the sleeps that expired during the pause. */
  resume(): void {
    this.#isPaused = false;
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  #awaitResumed(): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const wake = () => resume(Effect.void);
      this.#waiters.add(wake);
      return Effect.sync(() => this.#waiters.delete(wake));
    });
  }
}
