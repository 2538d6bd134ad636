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

  /**
   * Requests in progress, in parts of its fair share here, that an
   * organisation would have with one more. Up to 1 within its share.
   */
  useWithNext(tenant: string): number {
    const use = this.#uses.get(tenant);
    if (use === undefined || use.inProgress === 0) return 0;
    const total = this.#demands.get(tenant) ?? 1;
    const own = use.inProgress + use.waiting;
    const fair = Math.max(1, own * Math.min(1, this.#level / total));
    const part = (use.inProgress + 1) / (fair * TOLERANCE);
    return part <= 1 ? 0 : part;
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
