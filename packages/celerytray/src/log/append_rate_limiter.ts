/** Rate of appends, and the burst that may exceed it. */
export interface AppendRateLimiterOptions {
  readonly appendsPerSecond: number;
  readonly burstAppends?: number;
}

const MS_PER_SECOND = 1_000;
const DEFAULT_BURST_APPENDS = 2;

/** Limits the rate of appends of one process, over all its writers. */
export class AppendRateLimiter {
  readonly #intervalMs: number;
  readonly #burstMs: number;
  #nextAtMs = 0;

  constructor(options: AppendRateLimiterOptions) {
    this.#intervalMs = MS_PER_SECOND / options.appendsPerSecond;
    this.#burstMs = this.#intervalMs *
      ((options.burstAppends ?? DEFAULT_BURST_APPENDS) - 1);
  }

  /** Reserves one append and returns the time to wait before it, in ms. */
  reserve(nowMs: number): number {
    const earliestMs = Math.max(this.#nextAtMs, nowMs - this.#burstMs);
    this.#nextAtMs = earliestMs + this.#intervalMs;
    return Math.max(0, earliestMs - nowMs);
  }
}
