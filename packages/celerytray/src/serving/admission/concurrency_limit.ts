/** Part of the limit that is kept at a decrease. */
const DECREASE_FACTOR = 0.9;
/** Shortest time between two decreases. */
const DECREASE_INTERVAL_MS = 250;
/** Time without congestion after which the limit is removed. */
const CALM_MS = 3_000;
const MIN_LIMIT = 1;
/**
 * Step of an increase, as a part of the demand, where all slots are free. With
 * 0.5 the simulation had free slots for seconds while requests waited.
 */
const STEP_PART_OF_DEMAND = 2;
/**
 * Part of the limit that must be in use for it to rise. Otherwise it would
 * grow without being tested, and later decreases would not limit anything.
 */
const USED_PART = 0.5;

/** Requests of a process for one model. */
export interface OwnDemand {
  readonly inProgress: number;
  readonly waiting: number;
}

/**
 * Limit of a process's requests in progress for one model: additive increase,
 * multiplicative decrease. It is in force while congestion is reported.
 */
export class ConcurrencyLimit {
  #limit = Number.POSITIVE_INFINITY;
  #congestedAtMs = Number.NEGATIVE_INFINITY;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests that may be in progress; infinite while not in force. */
  valueAt(nowMs: number): number {
    if (nowMs - this.#congestedAtMs >= CALM_MS) {
      this.#limit = Number.POSITIVE_INFINITY;
    }
    return this.#limit;
  }

  isInForce(nowMs: number): boolean {
    return Number.isFinite(this.valueAt(nowMs));
  }

  /** Takes note of waiting requests or a rejection at an instance. */
  noteCongested({ inProgress }: OwnDemand, nowMs: number): void {
    const limit = this.valueAt(nowMs);
    this.#congestedAtMs = nowMs;
    if (!Number.isFinite(limit)) {
      this.#limit = Math.max(MIN_LIMIT, inProgress);
      this.#decreasedAtMs = nowMs;
    } else if (nowMs - this.#decreasedAtMs >= DECREASE_INTERVAL_MS) {
      this.#limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
      this.#decreasedAtMs = nowMs;
    }
  }

  /** Takes note of an instance's free slots, as a part of all it has. */
  noteFree(freePart: number, demand: OwnDemand, nowMs: number): void {
    const limit = this.valueAt(nowMs);
    if (!Number.isFinite(limit)) return;
    if (demand.inProgress < limit * USED_PART) return;
    const size = demand.inProgress + demand.waiting;
    this.#limit = limit + freePart * STEP_PART_OF_DEMAND * size;
  }
}
