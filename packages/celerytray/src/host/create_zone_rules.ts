import type { InstanceListView } from "../groups/index.ts";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { TopicCopy } from "../keyed_log/index.ts";
import type { LoadTracker } from "../serving/index.ts";
import { EvacuationView } from "./evacuation_view.ts";

/** What the rules on evacuated zones work with. */
export interface ZoneRulesOptions {
  readonly prefix: string;
  /** Copy of the topic with the keys. */
  readonly copy: TopicCopy;
  readonly instances: InstanceListView;
  readonly loads: LoadTracker;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
  /** Told of the instances of a zone whose evacuation has ended. */
  readonly onRestored: (instanceIds: readonly string[]) => void;
}

/** The evacuated zones, and the update from the copy of the topic. */
export interface ZoneRules {
  readonly evacuations: EvacuationView;
  readonly update: () => void;
}

/** Zones that the gauges show at most. */
const MAX_GAUGE_ZONES = 32;

/** Follows the evacuations of zones, with log events and gauges. */
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
      evacuations.update(options.copy.list(options.prefix), nowMs()),
  };
}
