import { compareTimestamps, type HybridTimestamp } from "./hybrid_clock.ts";
import type { TimelineEvent } from "./timeline.ts";

/** Selects events; an absent field matches all. */
export interface TimelineFilter {
  readonly requestId?: string | undefined;
  readonly replicaId?: string | undefined;
  readonly instanceId?: string | undefined;
  /** Only events after this timestamp. */
  readonly after?: HybridTimestamp | undefined;
  /** Maximum number of events; the latest are kept. */
  readonly limit?: number | undefined;
}

const DEFAULT_LIMIT = 1_000;

/** Returns the latest events that match a filter, oldest first. */
export function selectEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): TimelineEvent[] {
  const matching = events.filter((event) => isMatch(event, filter));
  return matching.slice(-(filter.limit ?? DEFAULT_LIMIT));
}

/** Merges the events of several processes in causal order. */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  return lists.flat().toSorted((a, b) =>
    compareTimestamps(a.at, b.at) ||
    (a.process < b.process ? -1 : a.process > b.process ? 1 : 0)
  );
}

function isMatch(event: TimelineEvent, filter: TimelineFilter): boolean {
  const { requestId, replicaId, instanceId, after } = filter;
  return (requestId === undefined || event.requestId === requestId) &&
    (replicaId === undefined || event.replicaId === replicaId) &&
    (instanceId === undefined || event.instanceId === instanceId ||
      event.process === instanceId) &&
    (after === undefined || compareTimestamps(event.at, after) > 0);
}
