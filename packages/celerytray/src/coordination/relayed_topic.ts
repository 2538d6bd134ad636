import type { RelayedChange, TopicCopy } from "../keyed_log/index.ts";
import type { KnownEnd } from "./peer_messages.ts";

/** A topic of the store that processes tell each other of. */
export interface RelayedTopic {
  /** What this process knows of it. */
  readonly copy: TopicCopy;
  /** Time before which that was the newest. */
  readonly provenAtMs: () => number;
  /** Takes what another process tells, which was the newest at a time. */
  readonly onRelayed: (change: RelayedChange, provenAtMs: number) => void;
}

/** What a process that knows a topic up to an offset is to be told of it. */
export function describeTopic(
  { copy, provenAtMs }: RelayedTopic,
  fromOffset: number,
  nowMs: number,
): RelayedChange & KnownEnd {
  const ageMs = copy.isCompleteSince(fromOffset)
    ? nowMs - provenAtMs()
    : Number.POSITIVE_INFINITY;
  return {
    ...copy.listChangesSince(fromOffset),
    proofAgeMs: Number.isFinite(ageMs) ? ageMs : null,
  };
}

/** Takes what another process told of a topic at a time. */
export function takeTold(
  { onRelayed: onTold }: RelayedTopic,
  told: RelayedChange & KnownEnd,
  publishedAtMs: number,
): void {
  if (told.proofAgeMs !== null) onTold(told, publishedAtMs - told.proofAgeMs);
}
