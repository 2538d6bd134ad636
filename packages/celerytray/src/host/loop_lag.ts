import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import { MAX_LAG_MS, type ProcessLag } from "../serving/index.ts";

/** Interval between two measurements. */
export const LAG_INTERVAL_MS = 50;
/** Lag above which the process counts as behind. */
const BEHIND_THRESHOLD_MS = 100;
/** Time for which the process still counts as behind after that. */
const BEHIND_HOLD_MS = 1_000;

/** Measures how late the event loop runs due timers. */
export class LoopLag implements ProcessLag {
  #tickedAtMs: number | undefined;
  #latestMs = 0;
  #earlierMs = 0;
  #lastBehindAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a measurement due after LAG_INTERVAL_MS has run. */
  recordTick(nowMs: number): void {
    this.#earlierMs = this.#latestMs;
    this.#latestMs = this.#latenessMs(nowMs);
    this.#tickedAtMs = nowMs;
    if (this.#latestMs > BEHIND_THRESHOLD_MS) this.#lastBehindAtMs = nowMs;
  }

  /**
   * Returns the sustained lag. A single pause does not count, as nothing waits
   * after it.
   */
  lagMs(nowMs: number): number {
    const pendingMs = this.#latenessMs(nowMs);
    return Math.max(
      Math.min(this.#earlierMs, this.#latestMs),
      Math.min(this.#latestMs, pendingMs),
    );
  }

  isBehind(nowMs: number): boolean {
    return nowMs - this.#lastBehindAtMs < BEHIND_HOLD_MS ||
      this.#latenessMs(nowMs) > BEHIND_THRESHOLD_MS;
  }

  #latenessMs(nowMs: number): number {
    const dueAtMs = (this.#tickedAtMs ?? nowMs) + LAG_INTERVAL_MS;
    return Math.max(0, nowMs - dueAtMs);
  }
}

/** Measures the lag and logs when it begins to turn requests away. */
export function measureLag(
  lag: LoopLag,
  record: RecordEvent,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    let wasHigh = false;
    while (true) {
      const nowMs = readSteadyMs(clock);
      lag.recordTick(nowMs);
      const lagMs = lag.lagMs(nowMs);
      if (lagMs > MAX_LAG_MS && !wasHigh) record("process.behind", { lagMs });
      // A second without lag ends the episode, so that it logs at most one
      // entry a second.
      wasHigh = lagMs > MAX_LAG_MS || (wasHigh && lag.isBehind(nowMs));
      yield* Effect.sleep(LAG_INTERVAL_MS);
    }
  });
}
