import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { HeldBytes, type ServingDependencies } from "../serving/index.ts";
import { LoopLag } from "./loop_lag.ts";

/** Protects a process against more work than it can handle. */
export interface OverloadProtection {
  readonly lag: LoopLag;
  /** The parts that request serving uses. */
  readonly dependencies: Pick<
    ServingDependencies,
    "held" | "lag" | "onWithheld"
  >;
}

/** Options of the overload protection. */
export interface OverloadProtectionOptions {
  /** Memory beyond which the process is killed. */
  readonly memoryMb: number;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
}

/** Share of the memory that may hold responses and request bodies. */
const MAX_HELD_SHARE = 1 / 16;
const MAX_HELD_MB = 16;
const MB = 1024 * 1024;

/** Creates the overload protection of a process and registers its metrics. */
export function createOverloadProtection(
  { memoryMb, metrics, record, nowMs }: OverloadProtectionOptions,
): OverloadProtection {
  const lag = new LoopLag();
  const cuts = metrics.addCounter({
    name: "celerytray_answers_cut_total",
    help: "Answers cut off as their bytes did not fit",
    labelNames: [],
  });
  const held = new HeldBytes({
    maxBytes: Math.min(memoryMb * MAX_HELD_SHARE, MAX_HELD_MB) * MB,
    nowMs,
    onCut: (cut) => {
      cuts.inc();
      record("caller.cut", { ...cut });
    },
  });
  metrics.addGauge(
    "celerytray_held_bytes",
    "Bytes of answers and request bodies that are held for callers",
    () => held.totalBytes,
  );
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
      held,
      lag,
      onWithheld: (reason) => withheld.inc({ reason }),
    },
  };
}
