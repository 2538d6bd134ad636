/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Extra load allowed for each request, as a share of one request. */
  readonly sharePerRequest?: number;
  /** Largest allowance saved up, in requests. */
  readonly maxSavedRequests?: number;
}

const DEFAULT_SHARE_PER_REQUEST = 0.1;
const DEFAULT_MAX_SAVED_REQUESTS = 20;

/**
 * Holds extra attempts to a share of the requests, so that retries cannot
 * multiply the load on back ends that fail because of it.
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

  /** Adds the allowance of one request. */
  noteRequest(): void {
    this.#savedRequests = Math.min(
      this.#maxSavedRequests,
      this.#savedRequests + this.#sharePerRequest,
    );
  }

  /** Takes the cost of an extra attempt; false if it is not covered. */
  trySpend(costRequests: number): boolean {
    if (costRequests > this.#savedRequests) return false;
    this.#savedRequests -= costRequests;
    return true;
  }
}
