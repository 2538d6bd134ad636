import type { TypicalTimes } from "./waiting_order.ts";

/** Timing of a completed request. */
export interface Completion {
  readonly startedAtMs: number;
  /** Undefined if no byte of an answer arrived. */
  readonly firstByteAtMs?: number;
  readonly endedAtMs: number;
  /** Whether it could no longer be on time when it was sent. */
  readonly isLate: boolean;
}

/** Weight of the newest request in the moving averages. */
const EWMA_WEIGHT = 0.1;
/** Mean deviations above the mean that cover nearly all first bytes. */
const FIRST_BYTE_DEVIATIONS = 2;
/** Window over which completions are counted. */
const RATE_WINDOW_MS = 2_000;
/** Completions in the window that are needed to use their rate. */
const MIN_COMPLETIONS = 4;

/** Completion rate and typical times of a process's requests for one model. */
export class CompletionStats {
  #firstByteMs: number | undefined;
  #deviationMs = 0;
  #serviceMs: number | undefined;
  #completedAtMs: number[] = [];

  record({ startedAtMs, firstByteAtMs, endedAtMs, isLate }: Completion): void {
    this.#serviceMs = updateAverage(this.#serviceMs, endedAtMs - startedAtMs);
    this.#discardBefore(endedAtMs - RATE_WINDOW_MS);
    this.#completedAtMs.push(endedAtMs);
    // Late requests wait longer at the instances and would bias the estimate.
    if (isLate) return;
    const firstByteMs = (firstByteAtMs ?? endedAtMs) - startedAtMs;
    const meanMs = this.#firstByteMs ?? firstByteMs;
    this.#deviationMs = updateAverage(
      this.#deviationMs,
      Math.abs(firstByteMs - meanMs),
    );
    this.#firstByteMs = updateAverage(meanMs, firstByteMs);
  }

  /** All 0 until a request is completed. */
  get typicalTimes(): TypicalTimes {
    return {
      firstByteMs: (this.#firstByteMs ?? 0) +
        this.#deviationMs * FIRST_BYTE_DEVIATIONS,
      serviceMs: this.#serviceMs ?? 0,
    };
  }

  /**
   * Mean time between two completions. With few completions in the window it
   * is estimated from the requests in progress; 0 until one is completed.
   */
  completionIntervalMs(inProgress: number, nowMs: number): number {
    this.#discardBefore(nowMs - RATE_WINDOW_MS);
    const count = this.#completedAtMs.length;
    return count >= MIN_COMPLETIONS
      ? RATE_WINDOW_MS / count
      : (this.#serviceMs ?? 0) / Math.max(1, inProgress);
  }

  #discardBefore(atMs: number): void {
    while (this.#completedAtMs.length > 0 && this.#completedAtMs[0]! < atMs) {
      this.#completedAtMs.shift();
    }
  }
}

function updateAverage(average: number | undefined, newest: number): number {
  return average === undefined
    ? newest
    : average + (newest - average) * EWMA_WEIGHT;
}
