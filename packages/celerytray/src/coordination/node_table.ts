import type { WindowTotals } from "../serving/index.ts";
import type { PeerNode, PeerReport } from "./peer_router.ts";

interface KnownNode {
  readonly report: PeerReport;
  readonly atMs: number;
}

/** Time for which a process that reported counts as present. */
const NODE_PRESENT_MS = 3_000;

/** What other processes last reported. */
export class NodeTable {
  readonly #nodes = new Map<string, KnownNode>();

  noteReport(report: PeerReport, nowMs: number): void {
    this.#nodes.set(report.nodeId, { report, atMs: nowMs });
  }

  /** Processes that reported lately. */
  listPresent(nowMs: number): readonly PeerNode[] {
    return this.#listReports(nowMs)
      .map(({ nodeId, peerAddress }) => ({ nodeId, peerAddress }));
  }

  /** Requests in progress for a model at the processes that are present. */
  countDemand(model: string, nowMs: number): number {
    return this.#listReports(nowMs).reduce(
      (total, { demand }) => total + (demand[model] ?? 0),
      0,
    );
  }

  /** Requests and repeats of the processes that are present, by service. */
  sumRepeats(
    own: Readonly<Record<string, WindowTotals>>,
    nowMs: number,
  ): Readonly<Record<string, WindowTotals>> {
    const sums = new Map<string, WindowTotals>();
    const tables = this.#listReports(nowMs).map(({ repeats }) => repeats);
    for (const table of [own, ...tables]) {
      for (const [service, { requests, repeats }] of Object.entries(table)) {
        const sum = sums.get(service) ?? { requests: 0, repeats: 0 };
        sums.set(service, {
          requests: sum.requests + requests,
          repeats: sum.repeats + repeats,
        });
      }
    }
    return Object.fromEntries(sums);
  }

  /** Whether any process ever had requests. */
  hadTraffic(): boolean {
    return [...this.#nodes.values()].some(({ report }) => report.hasTraffic);
  }

  #listReports(nowMs: number): readonly PeerReport[] {
    return [...this.#nodes.values()]
      .filter(({ atMs }) => nowMs - atMs < NODE_PRESENT_MS)
      .map(({ report }) => report);
  }
}
