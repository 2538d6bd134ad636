/** Factor of a multiplicative decrease. */
const DECREASE_FACTOR = 0.9;
/** Minimum time between two decreases. */
const DECREASE_INTERVAL_MS = 250;
/** Time without congestion after which the limit is removed. */
const LIMIT_EXPIRY_MS = 3_000;
const MIN_LIMIT = 1;
/**
 * Increase if all slots of an instance are free, as a multiple of the demand.
 * With 0.5 the simulation had free slots for seconds while requests waited.
 */
const INCREASE_PER_DEMAND = 2;
/**
 * Fraction of the limit that must be in use for it to rise. Otherwise it would
 * grow without being tested, and later decreases would not limit anything.
 */
const MIN_UTILISATION = 0.5;

/** Requests of this process for one model. */
export interface LocalDemand {
  readonly inProgress: number;
  readonly waiting: number;
}

/**
 * Limit on a process's requests in progress for one model, with additive
 * increase and multiplicative decrease. It is active while congestion is
 * reported.
 */
export class ConcurrencyLimit {
  #limit = Number.POSITIVE_INFINITY;
  #congestedAtMs = Number.NEGATIVE_INFINITY;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests that may be in progress; infinite while the limit is inactive. */
  valueAt(nowMs: number): number {
    if (nowMs - this.#congestedAtMs >= LIMIT_EXPIRY_MS) {
      this.#limit = Number.POSITIVE_INFINITY;
    }
    return this.#limit;
  }

  isActive(nowMs: number): boolean {
    return Number.isFinite(this.valueAt(nowMs));
  }

  /** Handles a report of waiting requests or of a rejection at an instance. */
  noteCongestion({ inProgress }: LocalDemand, nowMs: number): void {
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

  /** Handles a report of free slots, as a fraction of an instance's slots. */
  noteFreeSlots(
    freeFraction: number,
    demand: LocalDemand,
    nowMs: number,
  ): void {
    const limit = this.valueAt(nowMs);
    if (!Number.isFinite(limit)) return;
    if (demand.inProgress < limit * MIN_UTILISATION) return;
    const totalDemand = demand.inProgress + demand.waiting;
    this.#limit = limit + freeFraction * INCREASE_PER_DEMAND * totalDemand;
  }
}
