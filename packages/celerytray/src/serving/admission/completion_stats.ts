import type { UsualTimes } from "./waiting_order.ts";

/** How a request went that was sent. */
export interface Completion {
  readonly startedAtMs: number;
  /** Undefined where no byte of an answer came. */
  readonly firstByteAtMs?: number;
  readonly endedAtMs: number;
  /** Whether it was sent after those that can be in time. */
  readonly isLate: boolean;
}

/** Weight of the newest request in the means. */
const WEIGHT = 0.1;
/** Mean deviations by which a first byte is expected after the mean. */
const DEVIATIONS = 2;
/** Time over which completions are counted. */
const RATE_WINDOW_MS = 2_000;
/** Completions in the window from which on their rate counts. */
const LEAST_COMPLETIONS = 4;

/** Rate and usual times of a process's completed requests for one model. */
export class CompletionStats {
  #firstByteMs: number | undefined;
  #deviationMs = 0;
  #serviceMs: number | undefined;
  #endedAtMs: number[] = [];

  note({ startedAtMs, firstByteAtMs, endedAtMs, isLate }: Completion): void {
    this.#serviceMs = mix(this.#serviceMs, endedAtMs - startedAtMs);
    this.#forgetBefore(endedAtMs - RATE_WINDOW_MS);
    this.#endedAtMs.push(endedAtMs);
    // Late requests wait longer at the instances, which others don't.
    if (isLate) return;
    const firstByteMs = (firstByteAtMs ?? endedAtMs) - startedAtMs;
    const meanMs = this.#firstByteMs ?? firstByteMs;
    this.#deviationMs = mix(
      this.#deviationMs,
      Math.abs(firstByteMs - meanMs),
    );
    this.#firstByteMs = mix(meanMs, firstByteMs);
  }

  /** 0 before any request was completed. */
  get usual(): UsualTimes {
    return {
      firstByteMs: (this.#firstByteMs ?? 0) +
        this.#deviationMs * DEVIATIONS,
      serviceMs: this.#serviceMs ?? 0,
    };
  }

  /**
   * Time between two completions. With few of them it is calculated from the
   * requests in progress; 0 before any request was completed.
   */
  gapMs(inProgress: number, nowMs: number): number {
    this.#forgetBefore(nowMs - RATE_WINDOW_MS);
    const count = this.#endedAtMs.length;
    return count >= LEAST_COMPLETIONS
      ? RATE_WINDOW_MS / count
      : (this.#serviceMs ?? 0) / Math.max(1, inProgress);
  }

  #forgetBefore(atMs: number): void {
    while (this.#endedAtMs.length > 0 && this.#endedAtMs[0]! < atMs) {
      this.#endedAtMs.shift();
    }
  }
}

function mix(mean: number | undefined, newest: number): number {
  return mean === undefined ? newest : mean + (newest - mean) * WEIGHT;
}
