import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { LateEvent } from "../serving/index.ts";

/** Returns a function that counts and logs attempts whose events arrive after their end. */
export function countLateEvents(
  { metrics, record }: {
    readonly metrics: MetricsPage;
    readonly record: RecordEvent;
  },
): (event: LateEvent) => void {
  const late = metrics.addCounter({
    name: "celerytray_late_attempts_total",
    help: "Attempts whose events arrived after their end",
    labelNames: [],
  });
  return (event) => {
    late.inc({});
    record("attempt.late-event", { ...event });
  };
}
