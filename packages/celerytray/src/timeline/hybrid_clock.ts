/** A hybrid logical time: physical milliseconds and a counter. */
export interface HybridTimestamp {
  /** Unix time. */
  readonly physicalMs: number;
  readonly counter: number;
}

/**
 * Hybrid logical clock (Kulkarni et al., 2014): never goes back, and a
 * message's receipt is later than its sending.
 */
export class HybridClock {
  #last: HybridTimestamp = { physicalMs: 0, counter: 0 };

  /** Stamps an event of this process. */
  next(nowMs: number): HybridTimestamp {
    const { physicalMs, counter } = this.#last;
    this.#last = nowMs > physicalMs
      ? { physicalMs: nowMs, counter: 0 }
      : { physicalMs, counter: counter + 1 };
    return this.#last;
  }

  /** Takes note of a stamp that another process sent. */
  observe(received: HybridTimestamp): void {
    if (compareTimestamps(received, this.#last) > 0) this.#last = received;
  }
}

/** Orders two stamps. */
export function compareTimestamps(
  a: HybridTimestamp,
  b: HybridTimestamp,
): number {
  return a.physicalMs - b.physicalMs || a.counter - b.counter;
}
