import { Effect, type Scope } from "effect";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { CountingLog, type KeyedLog } from "../keyed_log/index.ts";

/** Interval between log entries on store calls. */
const LOG_INTERVAL_MS = 5_000;

/**
 * Wraps a store to count its calls in the metrics and in periodic log entries.
 */
export function countStoreCalls(options: {
  readonly log: KeyedLog;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
}): Effect.Effect<KeyedLog, never, Scope.Scope> {
  const { log, metrics, record } = options;
  const calls: Record<string, number> = {};
  const recordCounts = Effect.sync(() => {
    if (Object.keys(calls).length === 0) return;
    record("store.calls", { calls: { ...calls } });
    for (const name of Object.keys(calls)) delete calls[name];
  });
  const counted = new CountingLog({
    log,
    onCall: (call, topic) => {
      const name = `${call} ${topic}`;
      calls[name] = (calls[name] ?? 0) + 1;
      metrics.countStoreCall(call, topic);
    },
  });
  return Effect.sleep(LOG_INTERVAL_MS).pipe(
    Effect.andThen(recordCounts),
    Effect.forever,
    Effect.forkScoped,
    Effect.as(counted),
  );
}
