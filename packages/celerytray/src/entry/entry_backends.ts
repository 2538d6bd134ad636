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
import { LeavingDirectory } from "./leaving_directory.ts";
import { ReadyBackends } from "./ready_backends.ts";

/** What the view of back ends backoffs on. */
export interface EntryBackendsOptions {
  readonly engine: ModelEngine;
  readonly directory: InstanceDirectory;
  readonly config: ConfigStream;
  readonly membership: Membership;
  readonly fleet: StreamView<FleetState>;
  /** Time between two readings of an engine's status. */
  readonly statusIntervalMs: number;
}

/** Back ends as an entry instance sees them. */
export interface EntryBackends {
  /** What was last read of each model engine. */
  readonly observations: ReadonlyMap<string, MemberObservation>;
  /** Age above which an observation no longer counts. */
  readonly maxObservationAgeMs: number;
  /** The instance list, with those marked that leave or are drained. */
  readonly instances: LeavingDirectory;
  readonly ready: ReadyBackends;
}

/** Rounds of status readings that may be missed before a member counts as absent. */
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
    const instances = new LeavingDirectory({
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
