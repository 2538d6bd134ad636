/** Options of a rate limiter for loads from the weight store. */
export interface LoadRateLimiterOptions {
  readonly loadsPerSecond: number;
  /** Loads that other processes may have begun in the window before `nowMs`. */
  readonly assumedLoads: number;
  readonly nowMs: number;
}

const WINDOW_MS = 5_000;
/** Fraction of the allowed rate used; orders that arrive late use the rest. */
const USED_SHARE = 0.8;

/** Limits the rate of loads over a sliding window. */
export class LoadRateLimiter {
  readonly #maxLoads: number;
  #startedAtMs: number[];

  constructor(options: LoadRateLimiterOptions) {
    this.#maxLoads = Math.max(
      1,
      Math.floor(options.loadsPerSecond * (WINDOW_MS / 1000) * USED_SHARE),
    );
    this.#startedAtMs = new Array(options.assumedLoads).fill(options.nowMs);
  }

  /** Counts a load and returns true if one may begin now. */
  tryAcquire(nowMs: number): boolean {
    this.#startedAtMs = this.#startedAtMs.filter((atMs) =>
      nowMs - atMs < WINDOW_MS
    );
    if (this.#startedAtMs.length >= this.#maxLoads) return false;
    this.#startedAtMs.push(nowMs);
    return true;
  }
}
