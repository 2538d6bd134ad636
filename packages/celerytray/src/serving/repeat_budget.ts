/** Options of a budget of repeats. */
export interface RepeatBudgetOptions {
  /** Repeats allowed, as a share of the requests of a window. */
  readonly share: number;
  /** Repeats allowed in a window beside that share, over all machines. */
  readonly slackRequests: number;
  readonly windowMs: number;
  /** Machines that share the slack. */
  readonly countMachines: () => number;
}

/** Part of the allowance that is used, as machines see uneven shares. */
const USED_PART = 0.6;
const BUCKETS = 10;

/**
 * Holds repeats to a service to a share of the requests for it, over a
 * sliding window.
 */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  readonly #counts = new Map<string, WindowCounts>();

  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
  }

  noteRequest(service: string, nowMs: number): void {
    this.#countsOf(service, nowMs).requests += 1;
  }

  /** Takes the cost of one repeat; false if it is not covered. */
  trySpend(service: string, nowMs: number): boolean {
    const { share, slackRequests } = this.#options;
    const bucket = this.#countsOf(service, nowMs);
    const totals = this.#counts.get(service)!.totals(
      this.#bucketAt(nowMs),
    );
    const machines = Math.max(1, this.#options.countMachines());
    const allowed = USED_PART *
      (share * totals.requests + slackRequests / machines);
    if (totals.repeats + 1 > allowed) return false;
    bucket.repeats += 1;
    return true;
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

  totals(index: number): Omit<Bucket, "index"> {
    const totals = { requests: 0, repeats: 0 };
    for (const bucket of this.#buckets) {
      if (bucket.index <= index - BUCKETS) continue;
      totals.requests += bucket.requests;
      totals.repeats += bucket.repeats;
    }
    return totals;
  }
}
