import type { LeavingIncarnation } from "../groups/index.ts";
import {
  ageLimitReport,
  ageReport,
  mergeLimitReports,
  mergeReports,
  type SharedTotals,
  type WindowTotals,
} from "../serving/index.ts";
import { DepartedRetries } from "./departed_retries.ts";
import { reporterTimeoutMs } from "./intervals.ts";
import type { PeerNode, PeerReport, PeerSummary } from "./peer_messages.ts";

interface StoredReport {
  readonly report: PeerReport;
  readonly atMs: number;
}

/** Number of candidate relays that a summary names. */
const MAX_CANDIDATES = 4;
/** Number of processes without links that a summary names. */
const MAX_LOST_LINKS = 128;
/** Number of organisations that a summary lists by name. */
const MAX_TENANTS = 32;

/** The newest reports of other processes to this one. */
export class ReportTable {
  readonly #reports = new Map<string, StoredReport>();
  readonly #departed: DepartedRetries;
  #newestAtMs: number | undefined;

  constructor(options: { readonly retryWindowMs: number }) {
    this.#departed = new DepartedRetries({ windowMs: options.retryWindowMs });
  }

  /** Time of the newest report; undefined before the first. */
  get newestAtMs(): number | undefined {
    return this.#newestAtMs;
  }

  addReport(report: PeerReport, nowMs: number): void {
    this.#newestAtMs = nowMs;
    const known = this.#reports.get(report.reporter.nodeId);
    if (known !== undefined && known.report.bootId !== report.bootId) {
      this.#departed.add(known.report, known.atMs);
    }
    this.#departed.remove(report);
    this.#reports.set(report.reporter.nodeId, { report, atMs: nowMs });
  }

  /** Processes that reported to this one recently. */
  listReporters(nowMs: number): readonly PeerNode[] {
    return this.#listPresent(nowMs).map(({ report }) => report.reporter);
  }

  /** Candidate relays named in the recent reports. */
  listCandidates(nowMs: number): readonly PeerNode[] {
    return this.#listPresent(nowMs).flatMap(({ report }) =>
      report.summary.candidates
    );
  }

  /** Combines the summary of this process with those of its reporters. */
  summarize(own: PeerSummary, nowMs: number): PeerSummary {
    const present = this.#listPresent(nowMs);
    const summaries = [own, ...present.map(({ report }) => report.summary)];
    return {
      processes: summaries.reduce((sum, { processes }) => sum + processes, 0),
      candidates: summaries.flatMap(({ candidates }) => candidates)
        .sort(compareCapacity).slice(0, MAX_CANDIDATES),
      stalledHeads: listDistinct(summaries, ({ stalledHeads }) => stalledHeads),
      slowHeads: listDistinct(summaries, ({ slowHeads }) => slowHeads),
      leaving: listDistinctIncarnations(summaries),
      demand: sumDemand(summaries.map(({ demand }) => demand)),
      tenantDemand: selectLargest(
        sumDemand(summaries.map(({ tenantDemand }) => tenantDemand)),
      ),
      repeats: sumRetryTotals([
        ...summaries.map(({ repeats }) => repeats),
        ...this.#departed.list(nowMs),
      ]),
      ...mergeLostLinks(summaries),
      hasTraffic: summaries.some(({ hasTraffic }) => hasTraffic),
      quarantine: mergeReports([
        own.quarantine,
        ...present.map(({ report, atMs }) =>
          report.summary.quarantine === undefined
            ? undefined
            : ageReport(report.summary.quarantine, nowMs - atMs)
        ),
      ]),
      limits: mergeLimitReports([
        own.limits,
        ...present.map(({ report, atMs }) =>
          report.summary.limits === undefined
            ? undefined
            : ageLimitReport(report.summary.limits, nowMs - atMs)
        ),
      ]),
    };
  }

  #listPresent(nowMs: number): readonly StoredReport[] {
    for (const [nodeId, { report, atMs }] of this.#reports) {
      const isPresent = nowMs - atMs < reporterTimeoutMs(report.holdMs);
      if (isPresent) continue;
      this.#reports.delete(nodeId);
      this.#departed.add(report, atMs);
    }
    return [...this.#reports.values()];
  }
}

/** Sorts processes by decreasing cores, then by ID. */
export function compareCapacity(a: PeerNode, b: PeerNode): number {
  return b.cores - a.cores || (a.nodeId < b.nodeId ? -1 : 1);
}

function listDistinct(
  summaries: readonly PeerSummary[],
  select: (summary: PeerSummary) => readonly string[],
): readonly string[] {
  return [...new Set(summaries.flatMap(select))];
}

function listDistinctIncarnations(
  summaries: readonly PeerSummary[],
): readonly LeavingIncarnation[] {
  const incarnations = summaries.flatMap(({ leaving }) => leaving);
  const byKey = new Map(
    incarnations.map((
      incarnation,
    ) => [`${incarnation.instanceId} ${incarnation.bornAtMs}`, incarnation]),
  );
  return [...byKey.values()];
}

function sumDemand(
  demands: readonly Readonly<Record<string, number>>[],
): Readonly<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const demand of demands) {
    for (const [name, requests] of Object.entries(demand)) {
      sums[name] = (sums[name] ?? 0) + requests;
    }
  }
  return sums;
}

/**
 * Keeps the organisations with the most requests, which bounds the message
 * size.
 */
function selectLargest(
  demand: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  const entries = Object.entries(demand);
  if (entries.length <= MAX_TENANTS) return demand;
  return Object.fromEntries(
    entries.sort(([, a], [, b]) => b - a).slice(0, MAX_TENANTS),
  );
}

function mergeLostLinks(
  summaries: readonly PeerSummary[],
): Pick<PeerSummary, "lostLinks"> {
  const lostLinks = summaries.flatMap(({ lostLinks }) => lostLinks ?? []);
  return lostLinks.length === 0
    ? {}
    : { lostLinks: lostLinks.slice(0, MAX_LOST_LINKS) };
}

/** Adds up requests and retries, by service. */
function sumRetryTotals(all: readonly SharedTotals[]): SharedTotals {
  const sums: Record<string, WindowTotals> = {};
  for (const repeats of all) {
    for (const [service, totals] of Object.entries(repeats)) {
      const sum = sums[service] ?? { requests: 0, repeats: 0 };
      sums[service] = {
        requests: sum.requests + totals.requests,
        repeats: sum.repeats + totals.repeats,
      };
    }
  }
  return sums;
}
