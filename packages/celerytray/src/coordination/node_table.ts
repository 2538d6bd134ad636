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
