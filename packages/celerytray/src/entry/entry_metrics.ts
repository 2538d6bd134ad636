import { Clock, Effect, type Scope } from "effect";
import type { ConfigStream } from "../config/index.ts";
import type { InFlightCalls } from "../forwarding/index.ts";
import type { Membership } from "../membership/index.ts";
import { createMetricsSender } from "../metrics/index.ts";
import type { ResolvedEntrySettings } from "../settings/index.ts";
import { logEvent, type Timeline } from "../timeline/index.ts";

/** Sources of an entry instance's metrics. */
export interface EntryMetricsOptions {
  readonly settings: ResolvedEntrySettings;
  readonly config: ConfigStream;
  readonly membership: Membership;
  readonly calls: InFlightCalls;
  readonly timeline: Timeline;
  readonly notReadyReason: () => string | undefined;
}

const INTERVAL_MS = 10_000;

/** Sends an entry instance's metrics until the scope closes. */
export function runEntryMetrics(
  options: EntryMetricsOptions,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const { settings, config, membership, calls, timeline } = options;
    const sender = yield* createMetricsSender(settings);
    timeline.onRecord = (event) => {
      sender.count("timeline.events", { kind: event.kind });
      logEvent(event);
    };
    const send = Effect.map(Clock.currentTimeMillis, (nowMs) => {
      const isReady = options.notReadyReason() === undefined;
      sender.gauge("config.version", config.current().version);
      sender.gauge("config.log_age_ms", nowMs - (config.readAtMs() ?? 0));
      sender.gauge("entry.ready", isReady ? 1 : 0);
      sender.gauge("entry.calls_in_flight", calls.count);
      sender.gauge("membership.live", membership.listLiveIds().length);
    });
    const round = send.pipe(Effect.andThen(Effect.sleep(INTERVAL_MS)));
    yield* Effect.forkScoped(Effect.forever(round));
  });
}
