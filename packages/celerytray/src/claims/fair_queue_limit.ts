/** Options of a limit. */
export interface FairQueueLimitOptions {
  /**
   * Calls that may wait. Up to twice as many do for a while, when one
   * organisation took all places before others came.
   */
  readonly maxWaitingCalls: number;
  /** Least that the limit falls to under overload. */
  readonly minWaitingCalls?: number;
  /** Least time between two reductions of the limit. */
  readonly shrinkIntervalMs?: number;
}

const DEFAULT_MIN_WAITING_CALLS = 100;
const DEFAULT_SHRINK_INTERVAL_MS = 1_000;

/**
 * Bounds how many calls wait for a claim. One organisation may take all free
 * places but, once others wait too, no more than an equal share. The limit
 * halves when calls time out and grows with each grant, so that under overload
 * calls are refused at their arrival rather than after a wait.
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

  /** Takes a place; false when the organisation has its share already. */
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

  /** Gives a place back. */
  leave(organisation: string): void {
    const waiting = this.#waitingByOrganisation.get(organisation)! - 1;
    if (waiting === 0) this.#waitingByOrganisation.delete(organisation);
    else this.#waitingByOrganisation.set(organisation, waiting);
    this.#waitingCount -= 1;
  }

  /** Takes note of a call that was not granted in time. */
  noteTimeout(nowMs: number): void {
    const { minWaitingCalls, shrinkIntervalMs } = this.#options;
    if (nowMs - this.#shrunkAtMs < shrinkIntervalMs) return;
    this.#shrunkAtMs = nowMs;
    this.#limit = Math.max(minWaitingCalls, Math.floor(this.#limit / 2));
  }

  /** Takes note of a call that was granted. */
  noteGrant(): void {
    this.#limit = Math.min(this.#options.maxWaitingCalls, this.#limit + 1);
  }
}
