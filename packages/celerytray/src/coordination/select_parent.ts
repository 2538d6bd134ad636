import { hashText } from "../routing/hash_text.ts";
import type { PeerNode } from "./peer_messages.ts";
import { MAX_DIRECT_PROCESSES } from "./select_deputies.ts";

/** What a process selects by to whom it reports. */
export interface ParentSelection {
  readonly self: PeerNode;
  /** Processes that the lead hears of. */
  readonly processes: number;
  readonly deputies: readonly PeerNode[];
  /** Whether a deputy did not answer, or heard nothing of the lead, lately. */
  readonly isAvoided: (nodeId: string) => boolean;
}

/**
 * The deputy to report to; undefined for the lead itself. Deputies report to
 * the lead, all others to one of their zone where there is one.
 */
export function selectParent(
  { self, processes, deputies, isAvoided }: ParentSelection,
): PeerNode | undefined {
  const isDeputy = deputies.some(({ nodeId }) => nodeId === self.nodeId);
  if (isDeputy || processes <= MAX_DIRECT_PROCESSES) return undefined;
  const sound = deputies.filter(({ nodeId }) => !isAvoided(nodeId));
  const near = sound.filter(({ zone }) => zone === self.zone);
  let best: PeerNode | undefined;
  let bestScore = -1;
  for (const deputy of near.length > 0 ? near : sound) {
    const score = hashText(`${self.nodeId} ${deputy.nodeId}`);
    if (score > bestScore) {
      best = deputy;
      bestScore = score;
    }
  }
  return best;
}
