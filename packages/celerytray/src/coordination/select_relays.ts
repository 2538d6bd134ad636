import type { PeerNode } from "./peer_messages.ts";
import { compareAbility } from "./report_table.ts";

/** Processes up to which all report to the lead itself. */
export const MAX_DIRECT_PROCESSES = 16;
const MIN_RELAYS = 6;
/** Relays that stay, as a multiple of those that are wanted. */
const MAX_SURPLUS = 1.25;

/** What relays are selected from. */
export interface RelaySelection {
  readonly leadId: string;
  /** Processes that the lead hears of, itself included. */
  readonly processes: number;
  readonly candidates: readonly PeerNode[];
  /** Relays so far. */
  readonly previous: readonly PeerNode[];
}

/**
 * Selects the processes that pass the lead's status on and take its place, the
 * most able first. Their number grows with the root of that of all processes,
 * so that neither the lead nor a relay hears many.
 */
export function selectRelays(
  { leadId, processes, candidates, previous }: RelaySelection,
): readonly PeerNode[] {
  const wanted = Math.max(MIN_RELAYS, Math.ceil(Math.sqrt(processes)));
  // A few too many are kept, as each change sends processes to other relays.
  const most = Math.ceil(wanted * MAX_SURPLUS);
  const count = Math.min(Math.max(wanted, previous.length), most);
  const previousIds = new Set(previous.map(({ nodeId }) => nodeId));
  const present = new Map(
    candidates.filter(({ nodeId }) => nodeId !== leadId)
      .map((node) => [node.nodeId, node]),
  );
  // Who was a relay stays one, where others are no more able.
  const compare = (a: PeerNode, b: PeerNode) =>
    b.cores - a.cores ||
    Number(previousIds.has(b.nodeId)) - Number(previousIds.has(a.nodeId)) ||
    compareAbility(a, b);
  const queues = [...groupByZone([...present.values()].sort(compare))];
  const selected: PeerNode[] = [];
  for (let round = 0; selected.length < count; round++) {
    const inRound = queues.flatMap((queue) => queue.slice(round, round + 1));
    if (inRound.length === 0) break;
    selected.push(...inRound.sort(compare));
  }
  return selected.slice(0, count).sort(compareAbility);
}

/** Each zone has its share of relays, so that words seldom leave zones. */
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
