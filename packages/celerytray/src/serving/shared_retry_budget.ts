/** Requests and retries within a window. */
export interface WindowTotals {
  readonly requests: number;
  readonly repeats: number;
}

/** Totals of all machines within the window, by service. */
export type SharedTotals = Readonly<Record<string, WindowTotals>>;

/** Options of a shared retry budget. */
export interface SharedRetryBudgetOptions {
  /** Retries allowed, as a share of the requests within a window. */
  readonly share: number;
  /** Retries allowed within a window beside that share, over all machines. */
  readonly slackRequests: number;
  readonly windowMs: number;
  /** Machines that share the slack. */
  readonly countMachines: () => number;
  /** Latest totals of all machines; undefined if they are out of date. */
  readonly sharedTotals: () => SharedTotals | undefined;
  /** Time until the retries of a machine appear in the totals. */
  readonly totalsLagMs: () => number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Fraction of the budget that is used, as the load of machines is uneven. */
const USED_FRACTION = 0.6;
const BUCKETS = 40;

/**
 * Limits the retries to a service to a share of its requests, over a sliding
 * window. Machines divide the remaining budget by the totals of all machines; if
 * these are missing, each one keeps to a budget from its own requests.
 */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #counts = new Map<string, WindowCounts>();

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  noteRequest(service: string, nowMs: number): void {
    this.#getBucket(service, nowMs).requests += 1;
  }

  /** Spends one retry; returns false if the budget is exhausted. */
  trySpend(service: string, nowMs: number): boolean {
    const bucket = this.#getBucket(service, nowMs);
    const shared = this.#options.sharedTotals();
    const isWithinBudget = shared === undefined
      ? this.#isWithinLocalBudget(service, nowMs)
      : this.#isWithinSharedBudget(service, { shared, nowMs });
    if (!isWithinBudget) return false;
    bucket.retries += 1;
    return true;
  }

  /** Returns the totals of this machine, by service. */
  listTotals(nowMs: number): Readonly<Record<string, WindowTotals>> {
    const index = this.#bucketAt(nowMs);
    return Object.fromEntries(
      [...this.#counts].map(([service, counts]) => [
        service,
        counts.totals(index),
      ]),
    );
  }

  #isWithinLocalBudget(service: string, nowMs: number): boolean {
    const { slackRequests } = this.#options;
    const totals = this.#counts.get(service)!.totals(this.#bucketAt(nowMs));
    const slack = slackRequests / this.#countMachines();
    return totals.repeats + 1 <= this.#allowed(totals.requests, slack);
  }

  /**
   * Each machine gets an equal share of the remaining budget for the time by
   * which the totals lag. A share of less than one retry is its probability.
   */
  #isWithinSharedBudget(
    service: string,
    { shared, nowMs }: {
      readonly shared: SharedTotals;
      readonly nowMs: number;
    },
  ): boolean {
    const { requests, repeats } = shared[service] ??
      { requests: 0, repeats: 0 };
    const remaining = this.#allowed(requests, this.#options.slackRequests) -
      repeats;
    const machineShare = remaining / this.#countMachines();
    const unreported = this.#counts.get(service)!.countRetries({
      from: this.#bucketAt(nowMs - this.#options.totalsLagMs()),
    });
    return unreported + 1 <= machineShare ||
      (unreported === 0 && this.#options.random() < machineShare);
  }

  #allowed(requests: number, slack: number): number {
    return USED_FRACTION * (this.#options.share * requests + slack);
  }

  #countMachines(): number {
    return Math.max(1, this.#options.countMachines());
  }

  #getBucket(service: string, nowMs: number): Bucket {
    let counts = this.#counts.get(service);
    if (counts === undefined) {
      counts = new WindowCounts();
      this.#counts.set(service, counts);
    }
    return counts.at(this.#bucketAt(nowMs));
  }

  #bucketAt(nowMs: number): number {
    return Math.floor((nowMs * BUCKETS) / this.#options.windowMs);
  }
}

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

class WindowCounts {
  #buckets: Bucket[] = [];

  at(index: number): Bucket {
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets = this.#buckets.filter((old) => old.index > index - BUCKETS);
    this.#buckets.push(bucket);
    return bucket;
  }

  /** Counts the retries since a bucket, this one included. */
  countRetries({ from }: { readonly from: number }): number {
    return this.#buckets
      .filter(({ index }) => index >= from)
      .reduce((sum, { retries }) => sum + retries, 0);
  }

  totals(index: number): WindowTotals {
    const totals = { requests: 0, repeats: 0 };
    for (const bucket of this.#buckets) {
      if (bucket.index <= index - BUCKETS) continue;
      totals.requests += bucket.requests;
      totals.repeats += bucket.retries;
    }
    return totals;
  }
}
