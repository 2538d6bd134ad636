/** Options of a fair queue limit. */
export interface FairQueueLimitOptions {
  /**
   * Maximum number of waiting calls. Up to twice as many wait for a while if
   * one organisation took all slots before others arrived.
   */
  readonly maxWaitingCalls: number;
  /** Minimum of the limit under overload. */
  readonly minWaitingCalls?: number;
  /** Minimum time between two reductions of the limit. */
  readonly shrinkIntervalMs?: number;
}

const DEFAULT_MIN_WAITING_CALLS = 100;
const DEFAULT_SHRINK_INTERVAL_MS = 1_000;

/**
 * Limits the number of calls that wait for a claim. One organisation may take
 * all free slots but, once others wait too, no more than an equal share. The
 * limit halves when calls time out and grows by one with each grant, so that
 * under overload calls are refused on arrival rather than after a wait.
 */
export class FairQueueLimit {
  readonly #options: Required<FairQueueLimitOptions>;
  readonly #waitingByOrganisation = new Map<string, number>();
  #waitingCount = 0;
  #limit: number;
  #shrunkAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: FairQueueLimitOptions) {
    this.#options = {
      minWaitingCalls: DEFAULT_MIN_WAITING_CALLS,
      shrinkIntervalMs: DEFAULT_SHRINK_INTERVAL_MS,
      ...options,
    };
    this.#limit = options.maxWaitingCalls;
  }

  /** Takes a slot; false if the organisation already has its share. */
  tryEnter(organisation: string): boolean {
    const waiting = this.#waitingByOrganisation.get(organisation) ?? 0;
    const organisationCount = this.#waitingByOrganisation.size +
      (waiting === 0 ? 1 : 0);
    const share = Math.max(
      1,
      Math.floor(this.#limit / organisationCount),
    );
    if (waiting >= share) return false;
    if (this.#waitingCount >= 2 * this.#limit) return false;
    this.#waitingByOrganisation.set(organisation, waiting + 1);
    this.#waitingCount += 1;
    return true;
  }

  /** Releases a slot. */
  leave(organisation: string): void {
    const waiting = this.#waitingByOrganisation.get(organisation)! - 1;
    if (waiting === 0) this.#waitingByOrganisation.delete(organisation);
    else this.#waitingByOrganisation.set(organisation, waiting);
    this.#waitingCount -= 1;
  }

  /** Reduces the limit after a call that was not granted in time. */
  noteTimeout(nowMs: number): void {
    const { minWaitingCalls, shrinkIntervalMs } = this.#options;
    if (nowMs - this.#shrunkAtMs < shrinkIntervalMs) return;
    this.#shrunkAtMs = nowMs;
    this.#limit = Math.max(minWaitingCalls, Math.floor(this.#limit / 2));
  }

  /** Raises the limit after a call that was granted. */
  noteGrant(): void {
    this.#limit = Math.min(this.#options.maxWaitingCalls, this.#limit + 1);
  }
}
