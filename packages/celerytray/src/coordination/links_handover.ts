import type { LostLinks, PeerNode } from "./peer_messages.ts";

/** Inputs of the decision on a handover. */
export interface HandoverInput {
  /** Whether this process does not reach the replicas that it controls. */
  readonly hasLostReplicas: boolean;
  readonly lostLinks: () => readonly LostLinks[];
  /** Processes that report to this one. */
  readonly reporters: () => readonly PeerNode[];
  readonly nowMs: number;
}

/**
 * Time without links after which a leader hands over, in which the others report
 * whether they have lost theirs.
 */
const HANDOVER_AFTER_MS = 900;

/** Decides when a leader without links hands over to a process that has them. */
export class LinksHandover {
  #lostSinceMs: number | undefined;

  isDue(
    { hasLostReplicas, lostLinks, reporters, nowMs }: HandoverInput,
  ): boolean {
    if (!hasLostReplicas) {
      this.#lostSinceMs = undefined;
      return false;
    }
    this.#lostSinceMs ??= nowMs;
    if (nowMs - this.#lostSinceMs < HANDOVER_AFTER_MS) return false;
    const lostIds = new Set(lostLinks().map(({ nodeId }) => nodeId));
    // A process of an earlier version would not tell of its losses.
    return reporters().some(({ nodeId, servesOthers }) =>
      servesOthers === true && !lostIds.has(nodeId)
    );
  }
}
