import type { PeerNode } from "./peer_messages.ts";
import { compareCapacity } from "./report_table.ts";

/** Number of processes up to which all report to the leader itself. */
export const MAX_DIRECT_PROCESSES = 16;
const MIN_RELAYS = 6;
/**
 * Factor on the wanted number of relays up to which existing relays are kept.
 */
const MAX_RELAY_SURPLUS = 1.25;

/** Inputs of the selection of relays. */
export interface RelaySelection {
  readonly leaderId: string;
  /** Number of processes that report to the leader, itself included. */
  readonly processes: number;
  readonly candidates: readonly PeerNode[];
  /** The current relays. */
  readonly previous: readonly PeerNode[];
}

/**
 * Selects the processes that relay the leader's status and may succeed it, in
 * order of decreasing cores. Their number grows with the square root of the
 * number of processes, so that neither the leader nor any relay has many
 * reporters.
 */
export function selectRelays(
  { leaderId, processes, candidates, previous }: RelaySelection,
): readonly PeerNode[] {
  const wanted = Math.max(MIN_RELAYS, Math.ceil(Math.sqrt(processes)));
  // Keeps a small surplus, as each change moves processes to other relays.
  const maxCount = Math.ceil(wanted * MAX_RELAY_SURPLUS);
  const count = Math.min(Math.max(wanted, previous.length), maxCount);
  const previousIds = new Set(previous.map(({ nodeId }) => nodeId));
  const present = new Map(
    candidates.filter(({ nodeId }) => nodeId !== leaderId)
      .map((node) => [node.nodeId, node]),
  );
  // Prefers current relays among processes with equally many cores.
  const compare = (a: PeerNode, b: PeerNode) =>
    b.cores - a.cores ||
    Number(previousIds.has(b.nodeId)) - Number(previousIds.has(a.nodeId)) ||
    compareCapacity(a, b);
  const queues = [...groupByZone([...present.values()].sort(compare))];
  const selected: PeerNode[] = [];
  for (let round = 0; selected.length < count; round++) {
    const inRound = queues.flatMap((queue) => queue.slice(round, round + 1));
    if (inRound.length === 0) break;
    selected.push(...inRound.sort(compare));
  }
  return selected.slice(0, count).sort(compareCapacity);
}

/**
 * Groups processes by zone. Each zone gets its share of relays, so that
 * messages rarely cross zones.
 */
function groupByZone(
  nodes: readonly PeerNode[],
): Iterable<readonly PeerNode[]> {
  const zones = new Map<string, PeerNode[]>();
  for (const node of nodes) {
    const zone = zones.get(node.zone);
    if (zone === undefined) zones.set(node.zone, [node]);
    else zone.push(node);
  }
  return zones.values();
}
