import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import { MAX_LAG_MS, type ProcessLag } from "../serving/index.ts";

/** Interval between two measurements. */
export const LAG_TICK_MS = 50;
/** Lag from which on the process counts as behind. */
const BEHIND_MS = 100;
/** Time for which it counts as behind after that. */
const BEHIND_MEMORY_MS = 1_000;

/** How late the event loop runs what is due. */
export class LoopLag implements ProcessLag {
  #tickedAtMs: number | undefined;
  #latestMs = 0;
  #earlierMs = 0;
  #behindAtMs = Number.NEGATIVE_INFINITY;

  /** Takes note that a measurement that was due after LAG_TICK_MS ran. */
  noteTick(nowMs: number): void {
    this.#earlierMs = this.#latestMs;
    this.#latestMs = this.#latenessMs(nowMs);
    this.#tickedAtMs = nowMs;
    if (this.#latestMs > BEHIND_MS) this.#behindAtMs = nowMs;
  }

  /** Lag that lasts; a single pause does not count, as nothing waits after it. */
  lagMs(nowMs: number): number {
    const pendingMs = this.#latenessMs(nowMs);
    return Math.max(
      Math.min(this.#earlierMs, this.#latestMs),
      Math.min(this.#latestMs, pendingMs),
    );
  }

  isBehind(nowMs: number): boolean {
    return nowMs - this.#behindAtMs < BEHIND_MEMORY_MS ||
      this.#latenessMs(nowMs) > BEHIND_MS;
  }

  #latenessMs(nowMs: number): number {
    const dueAtMs = (this.#tickedAtMs ?? nowMs) + LAG_TICK_MS;
    return Math.max(0, nowMs - dueAtMs);
  }
}

/** Measures the lag, and logs when it begins to turn requests away. */
export function measureLag(
  lag: LoopLag,
  record: RecordEvent,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    let wasOver = false;
    while (true) {
      const nowMs = readSteadyMs(clock);
      lag.noteTick(nowMs);
      const lagMs = lag.lagMs(nowMs);
      if (lagMs > MAX_LAG_MS && !wasOver) record("process.behind", { lagMs });
      // A second without lag ends it, so that there is a line a second at most.
      wasOver = lagMs > MAX_LAG_MS || (wasOver && lag.isBehind(nowMs));
      yield* Effect.sleep(LAG_TICK_MS);
    }
  });
}
