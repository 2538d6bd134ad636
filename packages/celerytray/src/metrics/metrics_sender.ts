import { Effect, type Scope } from "effect";
import { StatsD } from "hot-shots";
import { parseAddress } from "../http/index.ts";

/** Every metric: its unit, its type and what it says. */
export const METRICS = {
  "config.version": {
    type: "gauge",
    unit: "version",
    description: "Configuration version in force",
  },
  "config.log_age_ms": {
    type: "gauge",
    unit: "ms",
    description: "Time since the log last answered",
  },
  "entry.ready": {
    type: "gauge",
    unit: "0 or 1",
    description: "Whether it takes requests",
  },
  "entry.calls_in_flight": {
    type: "gauge",
    unit: "calls",
    description: "Calls in flight",
  },
  "membership.live": {
    type: "gauge",
    unit: "instances",
    description: "Entry instances seen live, this one included",
  },
  "timeline.events": {
    type: "counter",
    unit: "events",
    description: "Events recorded, tagged by kind",
  },
} as const;

/** Name of a metric, without its prefix. */
export type MetricName = keyof typeof METRICS;

/** Sends metrics; does nothing when no agent is set. */
export interface MetricsSender {
  gauge(name: MetricName, value: number): void;
  count(name: MetricName, tags: Readonly<Record<string, string>>): void;
}

/** Options of a sender. */
export interface MetricsSenderOptions {
  /** IP:PORT of a StatsD agent; empty sends nothing. */
  readonly statsdAddress: string;
  readonly instanceId: string;
  readonly availabilityZone: string;
}

const PREFIX = "celerytray.";
const SILENT: MetricsSender = { gauge: () => {}, count: () => {} };

/** Sends over UDP until the scope closes; an agent that is away costs nothing. */
export function createMetricsSender(
  options: MetricsSenderOptions,
): Effect.Effect<MetricsSender, never, Scope.Scope> {
  if (options.statsdAddress === "") return Effect.succeed(SILENT);
  const open = Effect.sync(() =>
    new StatsD({
      ...parseAddress(options.statsdAddress),
      prefix: PREFIX,
      globalTags: {
        instance: options.instanceId,
        zone: options.availabilityZone,
      },
      errorHandler: () => {},
    })
  );
  const opened = Effect.acquireRelease(
    open,
    (client) =>
      Effect.callback<void>((resume) =>
        client.close(() => resume(Effect.void))
      ),
  );
  return Effect.map(opened, (client) => ({
    gauge: (name, value) => client.gauge(name, value),
    count: (name, tags) => client.increment(name, 1, { ...tags }),
  }));
}
