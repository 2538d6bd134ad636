import type { Instance } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import type { ModelEngine } from "../backends/index.ts";
import type { MemberObservation } from "./replica_health.ts";

/** Last observed status of each model engine. */
export interface EngineMonitor {
  /** By instance identifier. */
  readonly observations: ReadonlyMap<string, MemberObservation>;
}

/** Options of an engine monitor. */
export interface EngineMonitorOptions {
  readonly engine: ModelEngine;
  readonly listInstances: () => readonly Instance[];
  readonly intervalMs: number;
  /** Map that receives the observations; a new one by default. */
  readonly observations?: Map<string, MemberObservation>;
  /** Called with each status read. */
  readonly onStatus?: (observation: MemberObservation) => void;
}

/**
 * Reads the status of every engine once per interval until the scope closes. A
 * slow reading does not delay those of other engines.
 */
export function createEngineMonitor(
  options: EngineMonitorOptions,
): Effect.Effect<EngineMonitor, never, Scope.Scope> {
  return Effect.gen(function* () {
    const observations = options.observations ?? new Map();
    const reading = new Set<string>();
    const context: ObserveContext = { observations, reading, options };
    const poll = startReadings(context).pipe(
      Effect.andThen(Effect.sleep(options.intervalMs)),
    );
    yield* Effect.forkScoped(Effect.forever(poll));
    return { observations };
  });
}

interface ObserveContext {
  readonly observations: Map<string, MemberObservation>;
  /** Identifiers of the engines whose reading is in progress. */
  readonly reading: Set<string>;
  readonly options: EngineMonitorOptions;
}

function startReadings(
  context: ObserveContext,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.suspend(() => {
    const { observations, reading, options } = context;
    const engines = options.listInstances().filter(({ role }) =>
      role === "engine"
    );
    removeUnlisted(observations, engines);
    const idle = engines.filter(({ instanceId }) => !reading.has(instanceId));
    return Effect.forEach(
      idle,
      (instance) => Effect.forkScoped(readOnce(instance, context)),
      { discard: true },
    );
  });
}

function readOnce(
  instance: Instance,
  context: ObserveContext,
): Effect.Effect<void> {
  const { reading } = context;
  const { instanceId } = instance;
  return Effect.suspend(() => {
    reading.add(instanceId);
    return observe(instance, context);
  }).pipe(
    Effect.ensuring(Effect.sync(() => reading.delete(instanceId))),
  );
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

function removeUnlisted(
  observations: Map<string, MemberObservation>,
  engines: readonly Instance[],
): void {
  const listed = new Set(engines.map(({ instanceId }) => instanceId));
  for (const instanceId of observations.keys()) {
    if (!listed.has(instanceId)) observations.delete(instanceId);
  }
}
