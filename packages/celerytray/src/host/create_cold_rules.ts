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

/** What the rules on cold instances work with. */
export interface ColdRulesOptions {
  readonly processId: string;
  readonly bounds: ColdBounds;
  readonly instances: InstanceListView;
  readonly coldOf: (service: string) => ColdStart | undefined;
  readonly coordinator: () => Coordinator;
  /** Whether this process has had requests. */
  readonly hasTraffic: () => boolean;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
  /** Unix time. */
  readonly wallMs: () => number;
}

/** Who is cold and what cold instances may get. */
export interface ColdRules {
  readonly allowance: ColdRateLimiter;
  /** Takes note of a change of the list, after it was applied. */
  readonly noteList: (change: Pick<KeyedChange, "records">) => void;
  readonly noteReported: (instanceId: string, coldMs: number) => void;
  readonly noteRestored: (instanceIds: readonly string[]) => void;
  /** Keeps the number of processes. */
  readonly run: Effect.Effect<never>;
}

const COUNT_STEP_MS = 500;

/** Follows which instances are cold, with log events and a gauge. */
export function createColdRules(options: ColdRulesOptions): ColdRules {
  const { instances, coordinator, metrics, record, nowMs } = options;
  const processCount = new ProcessCount();
  const tracker = new ColdTracker({
    findColdStart: options.coldOf,
    onCold: (cold) => {
      const service = instances.find(cold.instanceId)?.service ?? "";
      if (options.coldOf(service) !== undefined) {
        record("instance.cold", { ...cold });
      }
    },
    onMalformed: (instanceId, message) =>
      record("instance.cold-malformed", { instanceId, message }),
  });
  const allowance = new ColdRateLimiter({
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
    allowance,
    noteList: ({ records }) => {
      const reading = {
        nowMs: nowMs(),
        wallMs: options.wallMs(),
        hasTraffic: hasTraffic(),
        isFirst,
      };
      isFirst = false;
      for (const instance of records.flatMap(({ key }) => find(key))) {
        const offset = instances.offsetOf(instance.id);
        if (offset !== undefined) {
          tracker.noteListed({ ...instance, offset }, reading);
        }
      }
      allowance.keepOnly((id) => instances.find(id) !== undefined);
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
      }).pipe(Effect.andThen(Effect.sleep(COUNT_STEP_MS))),
    ),
  };
}
