import { hashText } from "../routing/hash_text.ts";
import type { PeerNode } from "./peer_messages.ts";
import { MAX_DIRECT_PROCESSES } from "./select_relays.ts";

/** Inputs of the choice of the process to report to. */
export interface ParentSelection {
  readonly self: PeerNode;
  /**
   * Number of processes that report to the leader, directly or through relays.
   */
  readonly processes: number;
  readonly relays: readonly PeerNode[];
  /** Whether a relay recently did not respond or had only a stale status. */
  readonly isAvoided: (nodeId: string) => boolean;
}

/**
 * Selects the relay to report to; undefined for the leader itself. Relays
 * report to the leader, all other processes to a relay, in their own zone if
 * there is one.
 */
export function selectParent(
  { self, processes, relays, isAvoided }: ParentSelection,
): PeerNode | undefined {
  const isRelay = relays.some(({ nodeId }) => nodeId === self.nodeId);
  if (isRelay || processes <= MAX_DIRECT_PROCESSES) return undefined;
  const usable = relays.filter(({ nodeId }) => !isAvoided(nodeId));
  const inZone = usable.filter(({ zone }) => zone === self.zone);
  let best: PeerNode | undefined;
  let bestScore = -1;
  for (const relay of inZone.length > 0 ? inZone : usable) {
    const score = hashText(`${self.nodeId} ${relay.nodeId}`);
    if (score > bestScore) {
      best = relay;
      bestScore = score;
    }
  }
  return best;
}
