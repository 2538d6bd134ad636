import { Effect } from "effect";
import type { Coordinator } from "../coordination/index.ts";
import type { InstanceListView, InstanceState } from "../groups/index.ts";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import type { KeyedChange } from "../keyed_log/index.ts";
import {
  type ColdBounds,
  ColdRateLimiter,
  type ColdStart,
  ColdTracker,
  ProcessCount,
} from "../serving/index.ts";

/** Dependencies of the rules for cold instances. */
export interface ColdRulesOptions {
  readonly processId: string;
  readonly bounds: ColdBounds;
  readonly instances: InstanceListView;
  readonly findColdStart: (service: string) => ColdStart | undefined;
  readonly coordinator: () => Coordinator;
  /** Whether this process has had requests. */
  readonly hasTraffic: () => boolean;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
  /** Unix time. */
  readonly wallMs: () => number;
}

/** Tracks cold instances and limits their requests. */
export interface ColdRules {
  readonly rateLimiter: ColdRateLimiter;
  /**
   * Updates the cold instances after a change of the instance list was applied.
   */
  readonly noteList: (change: Pick<KeyedChange, "records">) => void;
  readonly noteReported: (instanceId: string, coldMs: number) => void;
  readonly noteRestored: (instanceIds: readonly string[]) => void;
  /** Samples the number of processes. */
  readonly run: Effect.Effect<never>;
}

const COUNT_INTERVAL_MS = 500;

/** Creates the rules for cold instances, with their log events and gauge. */
export function createColdRules(options: ColdRulesOptions): ColdRules {
  const { instances, coordinator, metrics, record, nowMs } = options;
  const processCount = new ProcessCount();
  const tracker = new ColdTracker({
    findColdStart: options.findColdStart,
    onCold: (cold) => {
      const service = instances.find(cold.instanceId)?.service ?? "";
      if (options.findColdStart(service) !== undefined) {
        record("instance.cold", { ...cold });
      }
    },
    onMalformed: (instanceId, message) =>
      record("instance.cold-malformed", { instanceId, message }),
  });
  const rateLimiter = new ColdRateLimiter({
    tracker,
    processId: options.processId,
    bounds: options.bounds,
    countProcesses: (atMs) => processCount.largest(atMs),
  });
  metrics.addGauge(
    "celerytray_cold_instances",
    "Instances that this process knows as cold",
    () => tracker.countCold(nowMs()),
  );
  const find = (id: string): readonly InstanceState[] => {
    const instance = instances.find(id);
    return instance === undefined ? [] : [instance];
  };
  const hasTraffic = () => {
    const demand = coordinator().demandTotals()?.byModel ?? {};
    return options.hasTraffic() || coordinator().hasAnyTraffic() ||
      Object.keys(demand).length > 0;
  };
  let isFirst = true;
  return {
    rateLimiter,
    noteList: ({ records }) => {
      const context = {
        nowMs: nowMs(),
        wallMs: options.wallMs(),
        hasTraffic: hasTraffic(),
        isFirst,
      };
      isFirst = false;
      for (const instance of records.flatMap(({ key }) => find(key))) {
        const offset = instances.offsetOf(instance.id);
        if (offset !== undefined) {
          tracker.noteListed({ ...instance, offset }, context);
        }
      }
      rateLimiter.keepOnly((id) => instances.find(id) !== undefined);
    },
    noteReported: (instanceId, coldMs) => {
      for (const instance of find(instanceId)) {
        tracker.noteReported(instance, coldMs, nowMs());
      }
    },
    noteRestored: (instanceIds) => {
      for (const instance of instanceIds.flatMap(find)) {
        tracker.noteRestored(instance, nowMs());
      }
    },
    run: Effect.forever(
      Effect.sync(() => {
        const isFresh = coordinator().demandTotals() !== undefined;
        const processes = coordinator().countProcesses();
        processCount.note(processes, { nowMs: nowMs(), isFresh });
      }).pipe(Effect.andThen(Effect.sleep(COUNT_INTERVAL_MS))),
    ),
  };
}
