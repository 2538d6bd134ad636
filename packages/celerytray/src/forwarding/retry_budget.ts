/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Extra load allowed for each request, as a share of one request. */
  readonly sharePerRequest?: number;
  /** Largest unspent budget, in requests. */
  readonly maxSavedRequests?: number;
}

const DEFAULT_SHARE_PER_REQUEST = 0.1;
const DEFAULT_MAX_SAVED_REQUESTS = 20;

/**
 * Limits retries and hedges to a share of the requests, so that they cannot
 * multiply the load on back ends that fail from overload.
 */
export class RetryBudget {
  readonly #sharePerRequest: number;
  readonly #maxSavedRequests: number;
  #savedRequests: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#sharePerRequest = options.sharePerRequest ??
      DEFAULT_SHARE_PER_REQUEST;
    this.#maxSavedRequests = options.maxSavedRequests ??
      DEFAULT_MAX_SAVED_REQUESTS;
    this.#savedRequests = this.#maxSavedRequests;
  }

  /** Adds one request's share to the budget. */
  noteRequest(): void {
    this.#savedRequests = Math.min(
      this.#maxSavedRequests,
      this.#savedRequests + this.#sharePerRequest,
    );
  }

  /**
   * Spends the cost of an extra attempt; returns false if the budget is too
   * low.
   */
  trySpend(costRequests: number): boolean {
    if (costRequests > this.#savedRequests) return false;
    this.#savedRequests -= costRequests;
    return true;
  }
}
