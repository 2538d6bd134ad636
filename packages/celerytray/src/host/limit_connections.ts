import type { ListenOptions } from "../http/index.ts";
import type { MetricsPage } from "../journal/index.ts";
import type { HostSettings } from "./host_settings.ts";

/** Descriptors of a process that are not connections. */
const OTHER_DESCRIPTORS = 200;
/** Share of the connections that callers may have; the rest is for back ends. */
const CALLERS_SHARE = 0.5;

/** Bounds the connections of callers, and counts those closed to make room. */
export function limitConnections(
  { maxDescriptors }: HostSettings,
  metrics: MetricsPage,
): NonNullable<ListenOptions["connections"]> {
  const closed = metrics.addCounter({
    name: "celerytray_caller_connections_closed_total",
    help: "Callers' connections closed to make room for new ones",
    labelNames: [],
  });
  const connections = Math.max(1, maxDescriptors - OTHER_DESCRIPTORS);
  return {
    maxConnections: Math.max(1, Math.floor(connections * CALLERS_SHARE)),
    onClosed: () => closed.inc({}),
  };
}
