/** Rate of appends and how many may be made at once above it. */
export interface AppendRateLimiterOptions {
  readonly appendsPerSecond: number;
  readonly burstAppends?: number;
}

const MS_PER_SECOND = 1_000;
const DEFAULT_BURST_APPENDS = 2;

/** Spaces the appends of one process, over all its writers. */
export class AppendRateLimiter {
  readonly #intervalMs: number;
  readonly #burstMs: number;
  #nextAtMs = 0;

  constructor(options: AppendRateLimiterOptions) {
    this.#intervalMs = MS_PER_SECOND / options.appendsPerSecond;
    this.#burstMs = this.#intervalMs *
      ((options.burstAppends ?? DEFAULT_BURST_APPENDS) - 1);
  }

  /** Takes one append; it may be made after the time returned, in ms. */
  reserve(nowMs: number): number {
    const earliestMs = Math.max(this.#nextAtMs, nowMs - this.#burstMs);
    this.#nextAtMs = earliestMs + this.#intervalMs;
    return Math.max(0, earliestMs - nowMs);
  }
}
