/** Demand of each organisation over all entry instances. */
export interface PeerDemand {
  /** Sets this instance's own demand; 0 removes it. */
  setOwnDemand(organisation: string, requestsPerSecond: number): void;
  /**
   * This instance's share of an organisation's limit, between 0 and 1: in
   * proportion to its demand, or an equal share where no demand is known.
   */
  shareOf(organisation: string, nowMs: number): number;
}

/** One instance's demand as sent: organisations with requests per second. */
export type DemandReport = readonly (readonly [string, number])[];

/** Options of the demand table. */
export interface DemandTableOptions {
  /** Number of live entry instances, including this one. */
  readonly countLive: () => number;
  /** Age above which a report is ignored. */
  readonly maxAgeMs: number;
  /** Maximum of organisations in one report; those with the largest demand. */
  readonly maxReported?: number;
}

interface ReceivedReport {
  readonly demands: ReadonlyMap<string, number>;
  readonly receivedAtMs: number;
}

const DEFAULT_MAX_REPORTED = 8;
/** Fraction of an equal share that is reserved for an instance without demand. */
const IDLE_SHARE_FRACTION = 0.1;

/**
 * Keeps the demand reported by peers. If some peers have not reported recently,
 * their demand is extrapolated from the reports of the others.
 */
export class DemandTable implements PeerDemand {
  readonly #options: DemandTableOptions;
  readonly #own = new Map<string, number>();
  readonly #received = new Map<string, ReceivedReport>();

  constructor(options: DemandTableOptions) {
    this.#options = options;
  }

  setOwnDemand(organisation: string, requestsPerSecond: number): void {
    if (requestsPerSecond > 0) this.#own.set(organisation, requestsPerSecond);
    else this.#own.delete(organisation);
  }

  /** Creates the report of this instance's own demand. */
  createReport(): DemandReport {
    const max = this.#options.maxReported ?? DEFAULT_MAX_REPORTED;
    return [...this.#own].toSorted(([, a], [, b]) => b - a).slice(0, max)
      .map(([name, rate]) => [name, Math.round(rate * 10) / 10] as const);
  }

  /** Records a peer's report. */
  noteReport(
    instanceId: string,
    options: { readonly report: DemandReport; readonly nowMs: number },
  ): void {
    const demands = new Map(options.report);
    this.#received.set(instanceId, { demands, receivedAtMs: options.nowMs });
  }

  shareOf(organisation: string, nowMs: number): number {
    const liveCount = Math.max(1, this.#options.countLive());
    const equalShare = 1 / liveCount;
    const reports = this.#listRecent(nowMs);
    if (liveCount > 1 && reports.length === 0) return equalShare;
    const own = this.#own.get(organisation) ?? 0;
    const reported = reports.reduce(
      (sum, { demands }) => sum + (demands.get(organisation) ?? 0),
      0,
    );
    const others = reported * (liveCount - 1) / Math.max(1, reports.length);
    if (own + others === 0) return equalShare;
    const reserved = IDLE_SHARE_FRACTION * equalShare;
    return reserved + (1 - IDLE_SHARE_FRACTION) * own / (own + others);
  }

  #listRecent(nowMs: number): ReceivedReport[] {
    for (const [instanceId, { receivedAtMs }] of this.#received) {
      if (nowMs - receivedAtMs > this.#options.maxAgeMs) {
        this.#received.delete(instanceId);
      }
    }
    return [...this.#received.values()];
  }
}
