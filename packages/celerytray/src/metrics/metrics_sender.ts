import { Effect, type Scope } from "effect";
import { StatsD } from "hot-shots";
import { parseAddress } from "../http/index.ts";

/** Type, unit and description of each metric. */
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

/** Sends metrics to the agent, or nowhere if none is configured. */
export interface MetricsSender {
  gauge(name: MetricName, value: number): void;
  count(name: MetricName, tags: Readonly<Record<string, string>>): void;
}

/** Options of a metrics sender. */
export interface MetricsSenderOptions {
  /** IP:PORT of a StatsD agent; if empty, no metrics are sent. */
  readonly statsdAddress: string;
  readonly instanceId: string;
  readonly availabilityZone: string;
}

const PREFIX = "celerytray.";
const NO_OP_SENDER: MetricsSender = { gauge: () => {}, count: () => {} };

/**
 * Creates a sender that uses UDP until the scope closes. Send errors are ignored,
 * so an unreachable agent has no effect.
 */
export function createMetricsSender(
  options: MetricsSenderOptions,
): Effect.Effect<MetricsSender, never, Scope.Scope> {
  if (options.statsdAddress === "") return Effect.succeed(NO_OP_SENDER);
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
