import { Effect, type Scope } from "effect";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { CountingLog, type KeyedLog } from "../keyed_log/index.ts";

/** Interval between the lines that tell of calls to the store. */
const LINE_INTERVAL_MS = 5_000;

/** A store whose calls are counted on the metrics page and told in the log. */
export function countStoreCalls(options: {
  readonly log: KeyedLog;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
}): Effect.Effect<KeyedLog, never, Scope.Scope> {
  const { log, metrics, record } = options;
  const calls: Record<string, number> = {};
  const tell = Effect.sync(() => {
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
  return Effect.sleep(LINE_INTERVAL_MS).pipe(
    Effect.andThen(tell),
    Effect.forever,
    Effect.forkScoped,
    Effect.as(counted),
  );
}
