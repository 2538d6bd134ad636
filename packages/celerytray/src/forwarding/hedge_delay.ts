const WINDOW_CALLS = 128;
const MIN_CALLS = 32;
const QUANTILE = 0.95;
const MIN_DELAY_MS = 5;
/**
 * Largest delay, as a share of the timeout: a call that takes longer is not a
 * short one.
 */
const MAX_SHARE_OF_TIMEOUT = 0.25;

/** Estimates the delay after which a hedge of a short call is worth its load. */
export class HedgeDelay {
  readonly #durationsMs: number[] = [];
  #next = 0;

  /** Records how long a response took. */
  noteDuration(durationMs: number): void {
    this.#durationsMs[this.#next] = durationMs;
    this.#next = (this.#next + 1) % WINDOW_CALLS;
  }

  /**
   * Twice the 95th percentile of the recent durations, within the limits; a
   * quarter of the timeout before 32 durations are known.
   */
  delayMs(timeoutMs: number): number {
    const maxDelayMs = timeoutMs * MAX_SHARE_OF_TIMEOUT;
    if (this.#durationsMs.length < MIN_CALLS) return maxDelayMs;
    const sorted = this.#durationsMs.toSorted((a, b) => a - b);
    const index = Math.floor(sorted.length * QUANTILE);
    const unboundedDelayMs = 2 * sorted[index]!;
    return Math.min(maxDelayMs, Math.max(MIN_DELAY_MS, unboundedDelayMs));
  }
}

/** The hedge delays by service. */
export class HedgeDelays {
  readonly #delays = new Map<string, HedgeDelay>();

  /** The hedge delay of one service. */
  get(serviceName: string): HedgeDelay {
    let delay = this.#delays.get(serviceName);
    if (delay === undefined) {
      delay = new HedgeDelay();
      this.#delays.set(serviceName, delay);
    }
    return delay;
  }
}
