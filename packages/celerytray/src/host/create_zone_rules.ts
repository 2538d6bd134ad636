import type { InstanceListView } from "../groups/index.ts";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { TopicCopy } from "../keyed_log/index.ts";
import type { LoadTracker } from "../serving/index.ts";
import { EvacuationView } from "./evacuation_view.ts";

/** Dependencies of the rules for evacuated zones. */
export interface ZoneRulesOptions {
  readonly prefix: string;
  /** Copy of the topic that holds the evacuation keys. */
  readonly copy: TopicCopy;
  readonly instances: InstanceListView;
  readonly loads: LoadTracker;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
  /** Called with the instances of a zone whose evacuation has ended. */
  readonly onRestored: (instanceIds: readonly string[]) => void;
}

/**
 * The evacuated zones, with a function that updates them from the topic copy.
 */
export interface ZoneRules {
  readonly evacuations: EvacuationView;
  readonly update: () => void;
}

/** Highest number of zones that the gauges show. */
const MAX_GAUGE_ZONES = 32;

/** Creates the rules for evacuated zones, with their log events and gauges. */
export function createZoneRules(options: ZoneRulesOptions): ZoneRules {
  const { instances, loads, metrics, record, nowMs } = options;
  const listIds = (zone: string) =>
    instances.list().filter((instance) => instance.zone === zone)
      .map(({ id }) => id);
  const countRequests = (zone: string) =>
    listIds(zone).reduce((sum, id) => sum + loads.countInFlight(id), 0);
  const evacuations = new EvacuationView({
    prefix: options.prefix,
    onStarted: (zone) => {
      const count = listIds(zone).length;
      record("zone.evacuated", {
        zone,
        ...(instances.isLoaded ? { instances: count } : {}),
        requests: countRequests(zone),
      });
    },
    onEnded: (zone, evacuatedMs) => {
      const ids = listIds(zone);
      record("zone.restored", { zone, instances: ids.length, evacuatedMs });
      options.onRestored(ids);
    },
    onMalformed: (key, message) =>
      record("zone.evacuation-malformed", { key, message }),
  });
  const listShown = () => evacuations.list(nowMs()).slice(0, MAX_GAUGE_ZONES);
  metrics.addLabelledGauge({
    name: "celerytray_evacuation_age_seconds",
    help: "Time since this process learnt of a zone's evacuation",
    labelName: "zone",
    read: () =>
      listShown().map(({ zone, ageMs }) => ({
        label: zone,
        value: ageMs / 1000,
      })),
  });
  metrics.addLabelledGauge({
    name: "celerytray_evacuated_requests",
    help: "Requests of this process that still run in an evacuated zone",
    labelName: "zone",
    read: () =>
      listShown().map(({ zone }) => ({
        label: zone,
        value: countRequests(zone),
      })),
  });
  return {
    evacuations,
    update: () =>
      evacuations.update(options.copy.list(options.prefix), {
        nowMs: nowMs(),
        readTo: options.copy.nextOffset,
      }),
  };
}
