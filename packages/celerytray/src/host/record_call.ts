import type { Journal, MetricsPage } from "../journal/index.ts";
import type { LogPosition } from "../keyed_log/index.ts";
import type { CallRecord } from "../serving/index.ts";

/** What a process knows of the store. */
export interface KnownStore {
  /** Position up to which the configuration was read. */
  readonly configReadTo: LogPosition;
  /** Time since the configuration was last known to be the newest. */
  readonly configAgeMs: number;
  /** Position up to which the instance list was read. */
  readonly listReadTo: LogPosition;
  /** Time since the instance list was last known to be the newest. */
  readonly listAgeMs: number;
}

/** Destinations of call records. */
export interface CallSinks {
  readonly journal: Journal;
  readonly metrics: MetricsPage;
  readonly known: () => KnownStore;
}

/** Logs a call's outcome and counts it in the metrics. */
export function recordCall(
  call: CallRecord,
  { journal, metrics, known }: CallSinks,
): void {
  const isPlain = call.attempts.length <= 1 &&
    (call.outcome === "streamed" ||
      (call.outcome === "answered" && call.status < 400));
  const isCut = call.outcome === "broken-off" || call.cause === "memory" ||
    (call.hasBegun === true && call.outcome === "left" &&
      call.cause !== "caller-left");
  const { promptParts, ...others } = call;
  const fields = { ...others, known: describeKnown(known()) };
  journal.record(
    "call.ended",
    isPlain || promptParts === undefined
      ? fields
      : { ...fields, promptParts: [...promptParts] },
    isCut ? "cut" : isPlain ? "routine" : "notable",
  );
  metrics.recordRequest({ ...call, attempts: call.attempts.length });
}

function describeKnown(known: KnownStore) {
  const { configReadTo, configAgeMs, listReadTo, listAgeMs } = known;
  return {
    configReadTo,
    ...(Number.isFinite(configAgeMs)
      ? { configAgeMs: Math.round(configAgeMs) }
      : {}),
    listReadTo,
    ...(Number.isFinite(listAgeMs) ? { listAgeMs: Math.round(listAgeMs) } : {}),
  };
}
