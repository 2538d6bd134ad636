import type { Instance } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import type { ModelEngine } from "../backends/index.ts";
import type { MemberObservation } from "./replica_health.ts";

/** What was last read of each model engine. */
export interface EngineMonitor {
  readonly observations: ReadonlyMap<string, MemberObservation>;
}

/** Options of a monitor. */
export interface EngineMonitorOptions {
  readonly engine: ModelEngine;
  readonly listInstances: () => readonly Instance[];
  readonly intervalMs: number;
  /** Learns of each status read. */
  readonly onStatus?: (observation: MemberObservation) => void;
}

const MAX_CONCURRENT_READS = 64;

/** Reads every engine's status once an interval until the scope closes. */
export function createEngineMonitor(
  options: EngineMonitorOptions,
): Effect.Effect<EngineMonitor, never, Scope.Scope> {
  return Effect.gen(function* () {
    const observations = new Map<string, MemberObservation>();
    const readRound = Effect.suspend(() => {
      const engines = options.listInstances().filter(({ role }) =>
        role === "engine"
      );
      forgetMissing(observations, engines);
      return Effect.forEach(
        engines,
        (instance) => observe(instance, { observations, options }),
        { concurrency: MAX_CONCURRENT_READS, discard: true },
      );
    });
    const poll = readRound.pipe(
      Effect.andThen(Effect.sleep(options.intervalMs)),
    );
    yield* Effect.forkScoped(Effect.forever(poll));
    return { observations };
  });
}

interface ObserveContext {
  readonly observations: Map<string, MemberObservation>;
  readonly options: EngineMonitorOptions;
}

function observe(
  instance: Instance,
  context: ObserveContext,
): Effect.Effect<void> {
  const { observations, options } = context;
  const read = Effect.gen(function* () {
    const observedAtMs = yield* Clock.currentTimeMillis;
    const status = yield* options.engine.readStatus(instance.address);
    if (status.instanceId !== instance.instanceId) return;
    const observation = { status, observedAtMs };
    observations.set(instance.instanceId, observation);
    options.onStatus?.(observation);
  });
  return Effect.ignore(read);
}

function forgetMissing(
  observations: Map<string, MemberObservation>,
  engines: readonly Instance[],
): void {
  const listed = new Set(engines.map(({ instanceId }) => instanceId));
  for (const instanceId of observations.keys()) {
    if (!listed.has(instanceId)) observations.delete(instanceId);
  }
}
