/** Hybrid logical timestamp: physical time and a counter that breaks ties. */
export interface HybridTimestamp {
  /** Unix time. */
  readonly physicalMs: number;
  readonly counter: number;
}

/**
 * Hybrid logical clock (Kulkarni et al., 2014). Timestamps never decrease, and
 * the receipt of a message has a later timestamp than its sending.
 */
export class HybridClock {
  #last: HybridTimestamp = { physicalMs: 0, counter: 0 };

  /** Returns the timestamp of the next event of this process. */
  next(nowMs: number): HybridTimestamp {
    const { physicalMs, counter } = this.#last;
    this.#last = nowMs > physicalMs
      ? { physicalMs: nowMs, counter: 0 }
      : { physicalMs, counter: counter + 1 };
    return this.#last;
  }

  /** Advances the clock to a timestamp received from another process. */
  observe(received: HybridTimestamp): void {
    if (compareTimestamps(received, this.#last) > 0) this.#last = received;
  }
}

/** Orders two timestamps; negative if the first is earlier. */
export function compareTimestamps(
  a: HybridTimestamp,
  b: HybridTimestamp,
): number {
  return a.physicalMs - b.physicalMs || a.counter - b.counter;
}
