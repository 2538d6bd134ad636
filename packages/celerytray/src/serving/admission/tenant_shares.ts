/** Requests of an organisation in this process, for one model. */
export interface TenantUsage {
  inProgress: number;
  waiting: number;
}

/** Inputs of the fair shares. */
export interface ShareInputs {
  /**
   * Requests in progress or waiting over all processes, by organisation;
   * undefined if not known.
   */
  readonly totals: Readonly<Record<string, number>> | undefined;
  /** Requests of this process, by organisation. */
  readonly usage: ReadonlyMap<string, TenantUsage>;
}

const NO_USAGE: TenantUsage = { inProgress: 0, waiting: 0 };
/** Excess over the fair share that is tolerated as rounding. */
const SHARE_TOLERANCE = 1.1;

/**
 * Max-min fair shares of organisations. Each gets its demand up to a level at
 * which all of them together use the present capacity. Each process grants a
 * portion proportional to its part of the organisation's requests.
 */
export class TenantShares {
  readonly #level: number;
  readonly #demands: ReadonlyMap<string, number>;
  readonly #usage: ReadonlyMap<string, TenantUsage>;

  constructor({ totals, usage }: ShareInputs) {
    this.#usage = usage;
    this.#demands = mergeDemands(totals, usage);
    this.#level = waterFillingLevel(
      [...this.#demands.values()],
      servedFraction(usage),
    );
  }

  /** Whether one more request keeps an organisation within its share. */
  isWithinShare(tenant: string): boolean {
    const inProgress = this.#usage.get(tenant)?.inProgress ?? 0;
    return inProgress + 1 <= this.#fairShareOf(tenant) * SHARE_TOLERANCE;
  }

  /**
   * Ratio of requests in progress to the fair share in this process; 0 within
   * the share. A share is at least one request, as a process has few slots for
   * many organisations.
   */
  excessRatioOf(tenant: string): number {
    const inProgress = this.#usage.get(tenant)?.inProgress ?? 0;
    const ratio = inProgress / (this.#fairShareOf(tenant) * SHARE_TOLERANCE);
    return ratio <= 1 ? 0 : ratio;
  }

  #fairShareOf(tenant: string): number {
    const { inProgress, waiting } = this.#usage.get(tenant) ?? NO_USAGE;
    const total = this.#demands.get(tenant) ?? 1;
    const grantedFraction = Math.min(1, this.#level / total);
    return Math.max(1, (inProgress + waiting) * grantedFraction);
  }
}

/**
 * Demand of each organisation: the larger of its total and its requests in this
 * process, as the totals lag behind.
 */
function mergeDemands(
  totals: Readonly<Record<string, number>> | undefined,
  usage: ReadonlyMap<string, TenantUsage>,
): ReadonlyMap<string, number> {
  const demands = new Map(Object.entries(totals ?? {}));
  for (const [tenant, { inProgress, waiting }] of usage) {
    const own = inProgress + waiting;
    demands.set(tenant, Math.max(own, demands.get(tenant) ?? 0));
  }
  return demands;
}

/** Fraction of this process's requests that are in progress. */
function servedFraction(usage: ReadonlyMap<string, TenantUsage>): number {
  let served = 0;
  let all = 0;
  for (const { inProgress, waiting } of usage.values()) {
    served += inProgress;
    all += inProgress + waiting;
  }
  return all === 0 ? 1 : served / all;
}

/** Level up to which a capacity, as a fraction of their sum, meets demands. */
export function waterFillingLevel(
  demands: readonly number[],
  capacityFraction: number,
): number {
  const sorted = demands.toSorted((a, b) => a - b);
  let left = capacityFraction * sorted.reduce((sum, demand) => sum + demand, 0);
  for (const [index, demand] of sorted.entries()) {
    const level = left / (sorted.length - index);
    if (demand >= level) return level;
    left -= demand;
  }
  return sorted.at(-1) ?? 0;
}
