import { Clock, Effect, type Scope } from "effect";
import type { InstanceDirectory, ModelEngine } from "../backends/index.ts";
import type { ConfigStream } from "../config/index.ts";
import {
  createEngineMonitor,
  type FleetState,
  type MemberObservation,
} from "../fleet/index.ts";
import type { StreamView } from "../log/index.ts";
import type { Membership } from "../membership/index.ts";
import { LeavingAwareDirectory } from "./leaving_aware_directory.ts";
import { ReadyBackends } from "./ready_backends.ts";

/** Options of an entry instance's view of the back ends. */
export interface EntryBackendsOptions {
  readonly engine: ModelEngine;
  readonly directory: InstanceDirectory;
  readonly config: ConfigStream;
  readonly membership: Membership;
  readonly fleet: StreamView<FleetState>;
  /** Time between two readings of an engine's status. */
  readonly statusIntervalMs: number;
}

/** An entry instance's view of the back ends. */
export interface EntryBackends {
  /** Last status read from each model engine, by instance id. */
  readonly observations: ReadonlyMap<string, MemberObservation>;
  /** Age above which an observation is ignored. */
  readonly maxObservationAgeMs: number;
  /** The instance list, with leaving and drained instances marked as leaving. */
  readonly instances: LeavingAwareDirectory;
  readonly ready: ReadyBackends;
}

/** Status intervals without a reading after which a member counts as absent. */
const MISSED_STATUS_ROUNDS = 2.5;

/** Reads the engines' statuses and keeps the lists of ready back ends. */
export function createEntryBackends(
  options: EntryBackendsOptions,
): Effect.Effect<EntryBackends, never, Scope.Scope> {
  const { engine, directory, config, membership, fleet } = options;
  const { statusIntervalMs } = options;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => clock.currentTimeMillisUnsafe();
    const observations = new Map<string, MemberObservation>();
    const maxObservationAgeMs = statusIntervalMs * MISSED_STATUS_ROUNDS;
    const instances = new LeavingAwareDirectory({
      directory,
      config,
      membership,
      observations,
      nowMs,
    });
    const ready = new ReadyBackends({
      fleet: fleet.current,
      instances: instances.byId,
      observations,
      nowMs,
      maxAgeMs: maxObservationAgeMs,
    });
    yield* createEngineMonitor({
      engine,
      observations,
      listInstances: directory.all,
      intervalMs: statusIntervalMs,
      onStatus: (observation) => ready.noteStatus(observation),
    });
    return { observations, maxObservationAgeMs, instances, ready };
  });
}
