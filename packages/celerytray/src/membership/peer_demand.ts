/** Demand for shares per organisation over all entry instances. */
export interface PeerDemand {
  /** Takes note of this instance's own demand. */
  setOwnDemand(organisation: string, requestsPerSecond: number): void;
  /**
   * This instance's share of an organisation's limit, between 0 and 1: its
   * part of the demand, or an equal part where no demand is known.
   */
  shareOf(organisation: string, nowMs: number): number;
}

/** One instance's demand, as it travels: organisation and requests a second. */
export type DemandReport = readonly (readonly [string, number])[];

/** Options of the demand table. */
export interface DemandTableOptions {
  /** Entry instances that are there, this one included. */
  readonly countLive: () => number;
  /** Age above which a report no longer counts. */
  readonly maxAgeMs: number;
  /** Organisations in one report; those with the largest demand go first. */
  readonly maxReported?: number;
}

interface HeardReport {
  readonly demands: ReadonlyMap<string, number>;
  readonly heardAtMs: number;
}

const DEFAULT_MAX_REPORTED = 8;
/** Part of an equal share that an instance without demand may still use. */
const IDLE_SHARE_PART = 0.1;

/**
 * Keeps what peers report of their demand. Where not all peers were heard of
 * lately, those heard stand for the others.
 */
export class DemandTable implements PeerDemand {
  readonly #options: DemandTableOptions;
  readonly #own = new Map<string, number>();
  readonly #heard = new Map<string, HeardReport>();

  constructor(options: DemandTableOptions) {
    this.#options = options;
  }

  setOwnDemand(organisation: string, requestsPerSecond: number): void {
    if (requestsPerSecond > 0) this.#own.set(organisation, requestsPerSecond);
    else this.#own.delete(organisation);
  }

  /** This instance's report. */
  createReport(): DemandReport {
    const max = this.#options.maxReported ?? DEFAULT_MAX_REPORTED;
    return [...this.#own].toSorted(([, a], [, b]) => b - a).slice(0, max)
      .map(([name, rate]) => [name, Math.round(rate * 10) / 10] as const);
  }

  /** Takes note of a peer's report. */
  noteReport(
    instanceId: string,
    options: { readonly report: DemandReport; readonly nowMs: number },
  ): void {
    const demands = new Map(options.report);
    this.#heard.set(instanceId, { demands, heardAtMs: options.nowMs });
  }

  shareOf(organisation: string, nowMs: number): number {
    const liveCount = Math.max(1, this.#options.countLive());
    const equalShare = 1 / liveCount;
    const reports = this.#listFresh(nowMs);
    if (liveCount > 1 && reports.length === 0) return equalShare;
    const own = this.#own.get(organisation) ?? 0;
    const heard = reports.reduce(
      (sum, { demands }) => sum + (demands.get(organisation) ?? 0),
      0,
    );
    const others = heard * (liveCount - 1) / Math.max(1, reports.length);
    if (own + others === 0) return equalShare;
    const reserved = IDLE_SHARE_PART * equalShare;
    return reserved + (1 - IDLE_SHARE_PART) * own / (own + others);
  }

  #listFresh(nowMs: number): HeardReport[] {
    for (const [instanceId, { heardAtMs }] of this.#heard) {
      if (nowMs - heardAtMs > this.#options.maxAgeMs) {
        this.#heard.delete(instanceId);
      }
    }
    return [...this.#heard.values()];
  }
}
