import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { ServingDependencies } from "../serving/index.ts";
import { LoopLag } from "./loop_lag.ts";

/** What protects a process from more work than it bears. */
export interface Pressure {
  readonly lag: LoopLag;
  /** What serving needs of it. */
  readonly dependencies: Pick<ServingDependencies, "lag" | "onWithheld">;
}

/** Options of the protection of a process. */
export interface PressureOptions {
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
}

/** Creates what protects a process, with its metrics. */
export function createPressure(
  { metrics, nowMs }: PressureOptions,
): Pressure {
  const lag = new LoopLag();
  const withheld = metrics.addCounter({
    name: "celerytray_requests_withheld_total",
    help: "Requests that were not sent, by reason",
    labelNames: ["reason"],
  });
  metrics.addGauge(
    "celerytray_loop_lag_seconds",
    "Lag of the event loop that lasts",
    () => lag.lagMs(nowMs()) / 1000,
  );
  return {
    lag,
    dependencies: {
      lag,
      onWithheld: (reason) => withheld.inc({ reason }),
    },
  };
}
