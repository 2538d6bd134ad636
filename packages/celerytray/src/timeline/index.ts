/** Timeline of events across all processes. */
export {
  Timeline,
  type TimelineEvent,
  type TimelineFields,
} from "./timeline.ts";
export { logEvent, useJsonLogs } from "./event_log.ts";
export {
  mergeEvents,
  selectEvents,
  type TimelineFilter,
} from "./select_events.ts";
export {
  compareTimestamps,
  HybridClock,
  type HybridTimestamp,
} from "./hybrid_clock.ts";
