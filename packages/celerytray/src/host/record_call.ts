import type { Journal, MetricsPage } from "../journal/index.ts";
import type { CallRecord } from "../serving/index.ts";

/** Destinations of call records. */
export interface CallSinks {
  readonly journal: Journal;
  readonly metrics: MetricsPage;
}

/** Logs a call's outcome and counts it in the metrics. */
export function recordCall(
  call: CallRecord,
  { journal, metrics }: CallSinks,
): void {
  const isPlain = call.attempts.length <= 1 &&
    (call.outcome === "streamed" ||
      (call.outcome === "answered" && call.status < 400));
  const { promptParts, ...fields } = call;
  journal.record(
    "call.ended",
    isPlain || promptParts === undefined
      ? fields
      : { ...fields, promptParts: [...promptParts] },
    isPlain ? "routine" : "notable",
  );
  metrics.recordRequest({ ...call, attempts: call.attempts.length });
}
