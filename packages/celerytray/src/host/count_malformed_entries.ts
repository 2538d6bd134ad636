import type { MetricsPage, RecordEvent } from "../journal/index.ts";

/** Destinations of reports about malformed entries. */
export interface MalformedEntrySinks {
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
}

/** Entries whose last problem is remembered. */
const MAX_REMEMBERED = 256;

/**
 * Returns a function that counts malformed entries of the instance list, and
 * logs each problem of an instance once, however often the entry is written.
 */
export function countMalformedEntries(
  { metrics, record }: MalformedEntrySinks,
): (instanceId: string, message: string) => void {
  const malformed = metrics.addCounter({
    name: "celerytray_malformed_entries_total",
    help: "Entries of the instance list that could not be read",
    labelNames: [],
  });
  const logged = new Map<string, string>();
  return (instanceId, message) => {
    malformed.inc();
    if (logged.get(instanceId) === message) return;
    if (logged.size >= MAX_REMEMBERED) logged.clear();
    logged.set(instanceId, message);
    record("instance.malformed", { instanceId, message });
  };
}
