import { hashText } from "../routing/hash_text.ts";
import type { PeerNode } from "./peer_messages.ts";
import { MAX_DIRECT_PROCESSES } from "./select_relays.ts";

/** What a process selects by to whom it reports. */
export interface ParentSelection {
  readonly self: PeerNode;
  /** Processes that the lead hears of. */
  readonly processes: number;
  readonly relays: readonly PeerNode[];
  /** Whether a relay did not answer, or heard nothing of the lead, lately. */
  readonly isAvoided: (nodeId: string) => boolean;
}

/**
 * The relay to report to; undefined for the lead itself. Relays report to
 * the lead, all others to one of their zone where there is one.
 */
export function selectParent(
  { self, processes, relays, isAvoided }: ParentSelection,
): PeerNode | undefined {
  const isRelay = relays.some(({ nodeId }) => nodeId === self.nodeId);
  if (isRelay || processes <= MAX_DIRECT_PROCESSES) return undefined;
  const sound = relays.filter(({ nodeId }) => !isAvoided(nodeId));
  const near = sound.filter(({ zone }) => zone === self.zone);
  let best: PeerNode | undefined;
  let bestScore = -1;
  for (const relay of near.length > 0 ? near : sound) {
    const score = hashText(`${self.nodeId} ${relay.nodeId}`);
    if (score > bestScore) {
      best = relay;
      bestScore = score;
    }
  }
  return best;
}
