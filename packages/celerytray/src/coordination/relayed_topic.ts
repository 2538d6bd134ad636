import {
  type EraStart,
  readEraStart,
  type RelayedChange,
  type TopicCopy,
} from "../keyed_log/index.ts";
import type { KnownTopicEnd } from "./peer_messages.ts";

/** A topic of the store that processes relay to each other. */
export interface RelayedTopic {
  /** This process's copy of the topic. */
  readonly copy: TopicCopy;
  /** Time at which the copy was last confirmed to be up to date. */
  readonly provenAtMs: () => number;
  /** Start of the store's era, if that matters for this topic. */
  readonly eraStart?: () => EraStart | undefined;
  /**
   * Applies a change from another process that was up to date at `provenAtMs`.
   */
  readonly onRelayed: (
    change: RelayedChange,
    provenAtMs: number,
    eraStart: EraStart | undefined,
  ) => void;
}

/**
 * Returns the changes of a topic since an offset, with the age of the last
 * confirmation of its end.
 */
export function describeTopicSince(
  { copy, provenAtMs, eraStart: findEraStart }: RelayedTopic,
  fromOffset: number,
  nowMs: number,
): RelayedChange & KnownTopicEnd {
  const ageMs = copy.isCompleteSince(fromOffset)
    ? nowMs - provenAtMs()
    : Number.POSITIVE_INFINITY;
  const eraStart = findEraStart?.();
  return {
    ...copy.listChangesSince(fromOffset),
    proofAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    ...(eraStart === undefined ? {} : {
      eraStart: {
        copyEnd: eraStart.copyEnd,
        ageMs: nowMs - eraStart.returnedAtMs,
      },
    }),
  };
}

/**
 * Applies relayed changes of a topic that were published at `publishedAtMs` or
 * later. Confirmations count from then, the time since the store's return from
 * the arrival, so that neither is taken for newer or older than it is.
 */
export function applyRelayedTopic(
  { onRelayed }: RelayedTopic,
  change: RelayedChange & KnownTopicEnd,
  { publishedAtMs, nowMs }: {
    readonly publishedAtMs: number;
    readonly nowMs: number;
  },
): void {
  const { nextOffset, proofAgeMs, eraStart } = change;
  if (proofAgeMs === null) return;
  onRelayed(
    change,
    publishedAtMs - proofAgeMs,
    readEraStart(eraStart, { nextOffset, toldAtMs: nowMs }),
  );
}
