/** Requests and repeats of a window. */
export interface WindowTotals {
  readonly requests: number;
  readonly repeats: number;
}

/** What all machines together had in the window, by service. */
export type SharedTotals = Readonly<Record<string, WindowTotals>>;

/** Options of a budget of repeats. */
export interface SharedRetryBudgetOptions {
  /** Repeats allowed, as a share of the requests of a window. */
  readonly share: number;
  /** Repeats allowed in a window beside that share, over all machines. */
  readonly slackRequests: number;
  readonly windowMs: number;
  /** Machines that share the slack. */
  readonly countMachines: () => number;
  /** Newest totals of all machines; undefined while none are fresh. */
  readonly sharedTotals: () => SharedTotals | undefined;
  /** Time in which machines spend before the totals tell of it. */
  readonly totalsLagMs: () => number;
  /** 0 to 1. */
  readonly random: () => number;
}

/** Part of the allowance that is used, as machines see uneven shares. */
const USED_PART = 0.6;
const BUCKETS = 40;

/**
 * Holds repeats to a service to a share of the requests for it, over a
 * sliding window. Machines share what is left by the totals of all, or else
 * each keeps to its own part.
 */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #counts = new Map<string, WindowCounts>();

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  noteRequest(service: string, nowMs: number): void {
    this.#countsOf(service, nowMs).requests += 1;
  }

  /** Takes the cost of one repeat; false if it is not covered. */
  trySpend(service: string, nowMs: number): boolean {
    const bucket = this.#countsOf(service, nowMs);
    const shared = this.#options.sharedTotals();
    const isCovered = shared === undefined
      ? this.#isCoveredAlone(service, nowMs)
      : this.#isCoveredTogether(service, { shared, nowMs });
    if (!isCovered) return false;
    bucket.repeats += 1;
    return true;
  }

  /** Totals of this machine, by service. */
  listTotals(nowMs: number): Readonly<Record<string, WindowTotals>> {
    const index = this.#bucketAt(nowMs);
    return Object.fromEntries(
      [...this.#counts].map(([service, counts]) => [
        service,
        counts.totals(index),
      ]),
    );
  }

  #isCoveredAlone(service: string, nowMs: number): boolean {
    const { slackRequests } = this.#options;
    const totals = this.#counts.get(service)!.totals(this.#bucketAt(nowMs));
    const slack = slackRequests / this.#countMachines();
    return totals.repeats + 1 <= this.#allowed(totals.requests, slack);
  }

  /**
   * Each machine has its part of what is left for the time that the totals lag
   * behind. Where that is less than one repeat, chance shares it out.
   */
  #isCoveredTogether(
    service: string,
    { shared, nowMs }: {
      readonly shared: SharedTotals;
      readonly nowMs: number;
    },
  ): boolean {
    const { requests, repeats } = shared[service] ??
      { requests: 0, repeats: 0 };
    const left = this.#allowed(requests, this.#options.slackRequests) - repeats;
    const part = left / this.#countMachines();
    const untold = this.#counts.get(service)!.countRepeats({
      from: this.#bucketAt(nowMs - this.#options.totalsLagMs()),
    });
    return untold + 1 <= part ||
      (untold === 0 && this.#options.random() < part);
  }

  #allowed(requests: number, slack: number): number {
    return USED_PART * (this.#options.share * requests + slack);
  }

  #countMachines(): number {
    return Math.max(1, this.#options.countMachines());
  }

  #countsOf(service: string, nowMs: number): Bucket {
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
  repeats: number;
}

class WindowCounts {
  #buckets: Bucket[] = [];

  at(index: number): Bucket {
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, requests: 0, repeats: 0 };
    this.#buckets = this.#buckets.filter((old) => old.index > index - BUCKETS);
    this.#buckets.push(bucket);
    return bucket;
  }

  /** Repeats from a bucket on. */
  countRepeats({ from }: { readonly from: number }): number {
    return this.#buckets
      .filter(({ index }) => index >= from)
      .reduce((sum, { repeats }) => sum + repeats, 0);
  }

  totals(index: number): WindowTotals {
    const totals = { requests: 0, repeats: 0 };
    for (const bucket of this.#buckets) {
      if (bucket.index <= index - BUCKETS) continue;
      totals.requests += bucket.requests;
      totals.repeats += bucket.repeats;
    }
    return totals;
  }
}
