import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { LateEvent } from "../serving/index.ts";

/** Returns a function that counts and logs events of attempts that had ended. */
export function countLateEvents(
  { metrics, record }: {
    readonly metrics: MetricsPage;
    readonly record: RecordEvent;
  },
): (event: LateEvent) => void {
  const late = metrics.addCounter({
    name: "celerytray_late_events_total",
    help: "Events of a stream that arrived after their attempt had ended",
    labelNames: [],
  });
  return (event) => {
    late.inc({});
    record("attempt.late-event", { ...event });
  };
}
