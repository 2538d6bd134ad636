import { Effect } from "effect";
import type { MergedTimeline } from "../admin/index.ts";
import {
  mergeEvents,
  selectEvents,
  type TimelineEvent,
  type TimelineFilter,
} from "../timeline/index.ts";
import type { EntryParts } from "./entry_parts.ts";

const CONCURRENT_READS = 16;

/**
 * Reads the events of all entry instances that respond, and the ids of the
 * others.
 */
export function readMergedTimeline(
  parts: EntryParts,
  filter: TimelineFilter,
): Effect.Effect<MergedTimeline> {
  const own = selectEvents(parts.timeline.latest(), filter);
  const peers = parts.membership.table.present;
  const reads = Effect.forEach(
    peers,
    ({ instanceId, adminAddress }) =>
      parts.transport.readTimeline(adminAddress, filter).pipe(
        Effect.map((events): ReadTimeline => ({ instanceId, events })),
        Effect.catch(() => Effect.succeed<ReadTimeline>({ instanceId })),
      ),
    { concurrency: CONCURRENT_READS },
  );
  return Effect.map(reads, (read) => ({
    events: mergeEvents([own, ...read.map(({ events }) => events ?? [])]),
    missing: read.flatMap(({ instanceId, events }) =>
      events === undefined ? [instanceId] : []
    ),
  }));
}

interface ReadTimeline {
  readonly instanceId: string;
  readonly events?: readonly TimelineEvent[];
}
