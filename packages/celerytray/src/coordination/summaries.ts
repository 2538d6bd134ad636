import type { CoordinatorOptions } from "./coordinator_options.ts";
import { SUMMARY_CACHE_MS } from "./intervals.ts";
import type { PeerSummary } from "./peer_messages.ts";
import type { ReportTable } from "./report_table.ts";

/** What a summary is made of. */
export interface SummariesOptions extends CoordinatorOptions {
  /** Reports of the processes that report to this one. */
  readonly table: ReportTable;
  readonly nowMs: () => number;
}

/** Summarizes this process and those that report to it. */
export class Summaries {
  readonly #options: SummariesOptions;
  #cached: { readonly summary: PeerSummary; readonly atMs: number } | undefined;

  constructor(options: SummariesOptions) {
    this.#options = options;
  }

  /** Summary of this process and of those that report to it, cached briefly. */
  all(): PeerSummary {
    const nowMs = this.#options.nowMs();
    if (
      this.#cached === undefined ||
      nowMs - this.#cached.atMs >= SUMMARY_CACHE_MS
    ) {
      const summary = this.#options.table.summarize(this.own(), nowMs);
      this.#cached = { summary, atMs: nowMs };
    }
    return this.#cached.summary;
  }

  /** Summary of this process alone. */
  own(): PeerSummary {
    const options = this.#options;
    const lostServices = options.listLostServices();
    return {
      processes: 1,
      candidates: [options.self],
      stalledHeads: options.listStalledHeads(),
      slowHeads: options.listSlowHeads(),
      leaving: options.listLeaving(),
      demand: options.demand(),
      tenantDemand: options.tenantDemand(),
      repeats: options.retryTotals(),
      hasTraffic: options.hasTraffic(),
      quarantine: options.quarantine.report(options.nowMs()),
      limits: options.limits.report(options.nowMs()),
      ...(lostServices.length === 0 ? {} : {
        lostLinks: [{ nodeId: options.self.nodeId, services: lostServices }],
      }),
    };
  }
}
