import type { RelayedChange, TopicCopy } from "../keyed_log/index.ts";
import type { KnownTopicEnd } from "./peer_messages.ts";

/** A topic of the store that processes relay to each other. */
export interface RelayedTopic {
  /** This process's copy of the topic. */
  readonly copy: TopicCopy;
  /** Time at which the copy was last confirmed to be up to date. */
  readonly provenAtMs: () => number;
  /**
   * Applies a change from another process that was up to date at `provenAtMs`.
   */
  readonly onRelayed: (change: RelayedChange, provenAtMs: number) => void;
}

/**
 * Returns the changes of a topic since an offset, with the age of the last
 * confirmation of its end.
 */
export function describeTopicSince(
  { copy, provenAtMs }: RelayedTopic,
  fromOffset: number,
  nowMs: number,
): RelayedChange & KnownTopicEnd {
  const ageMs = copy.isCompleteSince(fromOffset)
    ? nowMs - provenAtMs()
    : Number.POSITIVE_INFINITY;
  return {
    ...copy.listChangesSince(fromOffset),
    proofAgeMs: Number.isFinite(ageMs) ? ageMs : null,
  };
}

/**
 * Applies relayed changes of a topic that were published at `atMs`.
 */
export function applyRelayedTopic(
  { onRelayed }: RelayedTopic,
  change: RelayedChange & KnownTopicEnd,
  atMs: number,
): void {
  if (change.proofAgeMs !== null) onRelayed(change, atMs - change.proofAgeMs);
}
