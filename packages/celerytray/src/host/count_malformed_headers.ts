import type { MetricsPage, RecordEvent } from "../journal/index.ts";

/** Returns a function that counts and logs headers that can't be read. */
export function countMalformedHeaders(
  { metrics, record }: {
    readonly metrics: MetricsPage;
    readonly record: RecordEvent;
  },
): (instanceId: string, message: string) => void {
  const malformed = metrics.addCounter({
    name: "celerytray_malformed_headers_total",
    help: "Responses of instances with a header that can't be read",
    labelNames: [],
  });
  return (instanceId, message) => {
    malformed.inc({});
    record("instance.head-malformed", { instanceId, message });
  };
}
