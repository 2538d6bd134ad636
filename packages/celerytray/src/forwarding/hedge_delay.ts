const WINDOW_CALLS = 128;
const MIN_CALLS = 32;
const QUANTILE = 0.95;
const MIN_DELAY_MS = 5;
/** A call slower than this share of its time is no short call. */
const MAX_SHARE_OF_TIMEOUT = 0.25;

/** Finds after which wait a second attempt of a short call is worth its load. */
export class HedgeDelay {
  readonly #durationsMs: number[] = [];
  #next = 0;

  /** Takes note of how long an answer took. */
  noteAnswer(durationMs: number): void {
    this.#durationsMs[this.#next] = durationMs;
    this.#next = (this.#next + 1) % WINDOW_CALLS;
  }

  /** The wait; a quarter of the timeout while few calls are known. */
  delayMs(timeoutMs: number): number {
    const maxDelayMs = timeoutMs * MAX_SHARE_OF_TIMEOUT;
    if (this.#durationsMs.length < MIN_CALLS) return maxDelayMs;
    const sorted = this.#durationsMs.toSorted((a, b) => a - b);
    const index = Math.floor(sorted.length * QUANTILE);
    const usualMs = 2 * sorted[index]!;
    return Math.min(maxDelayMs, Math.max(MIN_DELAY_MS, usualMs));
  }
}

/** The waits of each service. */
export class HedgeDelays {
  readonly #delays = new Map<string, HedgeDelay>();

  /** The wait of one service. */
  get(serviceName: string): HedgeDelay {
    let delay = this.#delays.get(serviceName);
    if (delay === undefined) {
      delay = new HedgeDelay();
      this.#delays.set(serviceName, delay);
    }
    return delay;
  }
}
