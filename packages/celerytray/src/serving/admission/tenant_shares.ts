/** Requests of an organisation in this process, for one model. */
export interface TenantUse {
  inProgress: number;
  waiting: number;
}

/** What the shares are calculated from. */
export interface ShareInputs {
  /** Requests in progress or waiting, over all processes; if known. */
  readonly totals: Readonly<Record<string, number>> | undefined;
  readonly uses: ReadonlyMap<string, TenantUse>;
}

const NO_USE: TenantUse = { inProgress: 0, waiting: 0 };
/** Excess over the fair share that is no reason to yield, as it is rounding. */
const TOLERANCE = 1.1;

/**
 * Max-min fair shares of organisations. Each gets what it asks for up to a
 * level at which all together use the present capacity; a process grants its
 * part of that, in proportion to its own part of the organisation's requests.
 */
export class TenantShares {
  readonly #level: number;
  readonly #demands: ReadonlyMap<string, number>;
  readonly #uses: ReadonlyMap<string, TenantUse>;

  constructor({ totals, uses }: ShareInputs) {
    this.#uses = uses;
    this.#demands = sumDemands(totals, uses);
    this.#level = waterLevel(
      [...this.#demands.values()],
      servedPart(uses),
    );
  }

  /** Whether an organisation is within its share with one request more. */
  isWithin(tenant: string): boolean {
    const inProgress = this.#uses.get(tenant)?.inProgress ?? 0;
    return inProgress + 1 <= this.#fairOf(tenant) * TOLERANCE;
  }

  /**
   * Requests in progress, in parts of the fair share here, where they exceed
   * it; 0 elsewhere. One request beyond the share counts as rounding, as a
   * process has few places for many organisations.
   */
  excessOf(tenant: string): number {
    const inProgress = this.#uses.get(tenant)?.inProgress ?? 0;
    const part = inProgress / (this.#fairOf(tenant) * TOLERANCE);
    return part <= 1 ? 0 : part;
  }

  #fairOf(tenant: string): number {
    const { inProgress, waiting } = this.#uses.get(tenant) ?? NO_USE;
    const total = this.#demands.get(tenant) ?? 1;
    const granted = Math.min(1, this.#level / total);
    return Math.max(1, (inProgress + waiting) * granted);
  }
}

/** Own changes since the totals count where they exceed them. */
function sumDemands(
  totals: Readonly<Record<string, number>> | undefined,
  uses: ReadonlyMap<string, TenantUse>,
): ReadonlyMap<string, number> {
  const demands = new Map(Object.entries(totals ?? {}));
  for (const [tenant, { inProgress, waiting }] of uses) {
    const own = inProgress + waiting;
    demands.set(tenant, Math.max(own, demands.get(tenant) ?? 0));
  }
  return demands;
}

function servedPart(uses: ReadonlyMap<string, TenantUse>): number {
  let served = 0;
  let all = 0;
  for (const { inProgress, waiting } of uses.values()) {
    served += inProgress;
    all += inProgress + waiting;
  }
  return all === 0 ? 1 : served / all;
}

/** Level up to which demands can be met with a part of their sum. */
export function waterLevel(
  demands: readonly number[],
  metPart: number,
): number {
  const sorted = demands.toSorted((a, b) => a - b);
  let left = metPart * sorted.reduce((sum, demand) => sum + demand, 0);
  for (const [index, demand] of sorted.entries()) {
    const level = left / (sorted.length - index);
    if (demand >= level) return level;
    left -= demand;
  }
  return sorted.at(-1) ?? 0;
}
