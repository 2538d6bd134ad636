import type { Coordinator } from "../coordination/index.ts";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { InstanceLimits, type LimitChange } from "../serving/index.ts";
import type { HostSettings } from "./host_settings.ts";

/** Dependencies of the limits on the requests of instances. */
export interface LimitSources {
  readonly settings: Pick<HostSettings, "nodeId">;
  readonly coordinator: () => Coordinator;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
}

/** Creates the limits of a process, with their log event and gauge. */
export function createLimits(
  { settings, coordinator, metrics, record }: LimitSources,
): InstanceLimits {
  const limits = new InstanceLimits({
    nodeId: settings.nodeId,
    countProcesses: () => coordinator().countProcesses(),
    isStatusFresh: () => coordinator().statusAgeMs() !== undefined,
    onChange: (change) => recordChange(change, record),
  });
  metrics.addGauge(
    "celerytray_limited_instances",
    "Instances that limit their requests, as this process knows",
    () => limits.count,
  );
  return limits;
}

function recordChange(
  { instanceId, perSecond }: LimitChange,
  record: RecordEvent,
): void {
  record("instance.limit", {
    instanceId,
    ...(perSecond === undefined ? {} : { perSecond }),
  });
}
