import type { LeavingIncarnation } from "../groups/index.ts";
import type { WindowTotals } from "../serving/index.ts";
import { presentMs } from "./intervals.ts";
import type { PeerNode, PeerReport, PeerSummary } from "./peer_messages.ts";

interface KnownReport {
  readonly report: PeerReport;
  readonly atMs: number;
}

/** Most able processes that are named to the lead. */
const MAX_CANDIDATES = 4;
/** Most organisations whose requests are told by name. */
const MAX_TENANTS = 32;

/** What other processes last reported to this one. */
export class ReportTable {
  readonly #reports = new Map<string, KnownReport>();
  #newestAtMs: number | undefined;

  /** Time of the newest report; undefined before one came. */
  get newestAtMs(): number | undefined {
    return this.#newestAtMs;
  }

  note(report: PeerReport, nowMs: number): void {
    this.#newestAtMs = nowMs;
    this.#reports.set(report.reporter.nodeId, { report, atMs: nowMs });
  }

  /** Processes that reported here lately. */
  listReporters(nowMs: number): readonly PeerNode[] {
    return this.#listPresent(nowMs).map(({ reporter }) => reporter);
  }

  /** Most able processes, as those that reported here name them. */
  listCandidates(nowMs: number): readonly PeerNode[] {
    return this.#listPresent(nowMs).flatMap(({ summary }) =>
      summary.candidates
    );
  }

  /** What a process and those that reported to it tell together. */
  sumUp(own: PeerSummary, nowMs: number): PeerSummary {
    const summaries = [
      own,
      ...this.#listPresent(nowMs).map(({ summary }) => summary),
    ];
    return {
      processes: summaries.reduce((sum, { processes }) => sum + processes, 0),
      candidates: summaries.flatMap(({ candidates }) => candidates)
        .sort(compareAbility).slice(0, MAX_CANDIDATES),
      stalledHeads: listOnce(summaries, ({ stalledHeads }) => stalledHeads),
      slowHeads: listOnce(summaries, ({ slowHeads }) => slowHeads),
      leaving: listIncarnationsOnce(summaries),
      demand: sumDemand(summaries.map(({ demand }) => demand)),
      tenantDemand: selectLargest(
        sumDemand(summaries.map(({ tenantDemand }) => tenantDemand)),
      ),
      repeats: sumRepeats(summaries),
      hasTraffic: summaries.some(({ hasTraffic }) => hasTraffic),
    };
  }

  #listPresent(nowMs: number): readonly PeerReport[] {
    for (const [nodeId, { report, atMs }] of this.#reports) {
      const isPresent = nowMs - atMs < presentMs(report.holdMs);
      if (!isPresent) this.#reports.delete(nodeId);
    }
    return [...this.#reports.values()].map(({ report }) => report);
  }
}

/** The more able of two processes goes first. */
export function compareAbility(a: PeerNode, b: PeerNode): number {
  return b.cores - a.cores || (a.nodeId < b.nodeId ? -1 : 1);
}

function listOnce(
  summaries: readonly PeerSummary[],
  select: (summary: PeerSummary) => readonly string[],
): readonly string[] {
  return [...new Set(summaries.flatMap(select))];
}

function listIncarnationsOnce(
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

/** The organisations with the most requests, which bounds what is sent. */
function selectLargest(
  demand: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  const entries = Object.entries(demand);
  if (entries.length <= MAX_TENANTS) return demand;
  return Object.fromEntries(
    entries.sort(([, a], [, b]) => b - a).slice(0, MAX_TENANTS),
  );
}

function sumRepeats(
  summaries: readonly PeerSummary[],
): Readonly<Record<string, WindowTotals>> {
  const sums: Record<string, WindowTotals> = {};
  for (const { repeats } of summaries) {
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
