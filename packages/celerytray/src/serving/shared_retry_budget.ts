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
  /** Machines that share the slack; undefined while their number is unknown. */
  readonly countMachines: () => number | undefined;
  /** Latest totals of all machines; undefined if they are out of date. */
  readonly sharedTotals: () => SharedTotals | undefined;
  /** Time within which retries of this machine may be missing in the totals. */
  readonly totalsLagMs: () => number;
  /** Start of this process, which does not know what it spent before. */
  readonly startedAtMs: number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Fraction of the budget that is used, as the load of machines is uneven. */
const USED_FRACTION = 0.6;
/**
 * Fraction of the slack that a process uses in its first window: the rest may
 * have been used just before it started.
 */
const STARTING_SLACK_FRACTION = 1 - USED_FRACTION;
const BUCKETS = 40;

/**
 * Limits the retries to a service to a share of its requests, over a sliding
 * window. Machines divide the remaining budget by the totals of all machines; if
 * these are missing, each one keeps to a budget from its own requests.
 */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #counts = new Map<string, WindowCounts>();
  readonly #machines = new WindowMax();

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  noteRequest(service: string, nowMs: number): void {
    this.#getBucket(service, nowMs).requests += 1;
    this.#countMachines(nowMs);
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
    const counts = this.#counts.get(service)!;
    const totals = counts.totals(this.#bucketAt(nowMs));
    const machines = this.#countMachines(nowMs);
    // Without a number of machines, no part of the slack is known to be free.
    const slack = machines === undefined ? 0 : this.#slack(nowMs) / machines;
    return totals.repeats + 1 <= this.#allowed(totals.requests) + slack;
  }

  /**
   * Each machine gets an equal share of the remaining budget for the time by
   * which the totals lag. A share of less than one retry is its probability,
   * for one draw within that time.
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
    const remaining = this.#allowed(requests) + this.#slack(nowMs) - repeats;
    const machineShare = remaining / (this.#countMachines(nowMs) ?? 1);
    const counts = this.#counts.get(service)!;
    const lagMs = this.#options.totalsLagMs();
    const unreported = counts.countRetries({
      from: this.#bucketAt(nowMs - lagMs),
    });
    if (unreported + 1 <= machineShare) return true;
    if (unreported > 0 || machineShare <= 0) return false;
    return counts.tryDraw({ nowMs, lagMs }) &&
      this.#options.random() < machineShare;
  }

  /** Retries allowed for a number of requests, without the slack. */
  #allowed(requests: number): number {
    return USED_FRACTION * this.#options.share * requests;
  }

  /** Retries allowed beside the share of the requests, over all machines. */
  #slack(nowMs: number): number {
    const { slackRequests, startedAtMs, windowMs } = this.#options;
    const isStarting = nowMs - startedAtMs < windowMs;
    return slackRequests *
      (isStarting ? STARTING_SLACK_FRACTION : USED_FRACTION);
  }

  /**
   * The greatest number of machines within the window: those that are missing
   * now may only be out of reach.
   */
  #countMachines(nowMs: number): number | undefined {
    const machines = this.#options.countMachines();
    if (machines !== undefined) {
      this.#machines.note(machines, this.#bucketAt(nowMs));
    }
    return this.#machines.max(this.#bucketAt(nowMs));
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

/** The greatest of the values within a window. */
class WindowMax {
  readonly #values = new Map<number, number>();

  note(value: number, index: number): void {
    this.#values.set(index, Math.max(value, this.#values.get(index) ?? 0));
  }

  /** The greatest value up to a bucket; undefined without any. */
  max(index: number): number | undefined {
    for (const old of this.#values.keys()) {
      if (old <= index - BUCKETS) this.#values.delete(old);
    }
    return this.#values.size === 0
      ? undefined
      : Math.max(...this.#values.values());
  }
}

class WindowCounts {
  #buckets: Bucket[] = [];
  #drawnAtMs = Number.NEGATIVE_INFINITY;

  /** Whether a draw is due, which it is once in the time of the lag. */
  tryDraw(
    { nowMs, lagMs }: { readonly nowMs: number; readonly lagMs: number },
  ): boolean {
    if (nowMs - this.#drawnAtMs < lagMs) return false;
    this.#drawnAtMs = nowMs;
    return true;
  }

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
