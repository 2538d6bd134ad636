import type { Coordinator } from "../coordination/index.ts";
import type { MetricsPage } from "../journal/index.ts";
import { eraOf } from "../keyed_log/index.ts";
import type { CallerServer } from "./caller_server.ts";
import type { ConfigView } from "./config_view.ts";

/** Sources of the gauge values. */
export interface GaugeSources {
  readonly callers: CallerServer;
  readonly coordinator: Coordinator;
  readonly config: ConfigView;
}

/** Adds the gauges of a process to its metrics. */
export function addGauges(
  metrics: MetricsPage,
  { callers, coordinator, config }: GaugeSources,
): void {
  metrics.addGauge(
    "celerytray_requests_in_flight",
    "Requests that are not answered yet",
    () => callers.calls.count,
  );
  metrics.addGauge(
    "celerytray_leads_replicas",
    "1 where this process decides on replicas",
    () => coordinator.isLeading ? 1 : 0,
  );
  metrics.addGauge(
    "celerytray_config_version",
    "Version of the configuration in force",
    () => config.index?.config.version ?? 0,
  );
  metrics.addGauge(
    "celerytray_store_era",
    "Era of the store, which rises as it comes back from an older copy",
    () => eraOf(config.nextOffset),
  );
}
