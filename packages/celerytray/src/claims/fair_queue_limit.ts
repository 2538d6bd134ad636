/** Options of a limit. */
export interface FairQueueLimitOptions {
  /**
   * Calls that may wait. Up to twice as many do for a while, when one
   * organisation took all places before others came.
   */
  readonly maxWaitingCalls: number;
}

/**
 * Bounds how many calls wait for a claim. One organisation may take all free
 * places but, once others wait too, no more than an equal share.
 */
export class FairQueueLimit {
  readonly #maxWaitingCalls: number;
  readonly #waitingByOrganisation = new Map<string, number>();
  #waitingCount = 0;

  constructor(options: FairQueueLimitOptions) {
    this.#maxWaitingCalls = options.maxWaitingCalls;
  }

  /** Takes a place; false when the organisation has its share already. */
  enter(organisation: string): boolean {
    const waiting = this.#waitingByOrganisation.get(organisation) ?? 0;
    const organisationCount = this.#waitingByOrganisation.size +
      (waiting === 0 ? 1 : 0);
    const share = Math.max(
      1,
      Math.floor(this.#maxWaitingCalls / organisationCount),
    );
    if (waiting >= share) return false;
    if (this.#waitingCount >= 2 * this.#maxWaitingCalls) return false;
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
}
