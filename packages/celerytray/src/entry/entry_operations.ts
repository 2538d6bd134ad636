import { Clock, Effect, HashMap } from "effect";
import type {
  AdminOperations,
  EntryStatus,
  ReplicaDescription,
  TrpcPeerTransport,
} from "../admin/index.ts";
import type { InstanceDirectory } from "../backends/index.ts";
import type { ConfigStream } from "../config/index.ts";
import {
  findReplicaHealth,
  type FleetState,
  type MemberObservation,
} from "../fleet/index.ts";
import type { InFlightCalls } from "../forwarding/index.ts";
import type { LogWriter, StreamView } from "../log/index.ts";
import type { Membership } from "../membership/index.ts";
import type { ResolvedEntrySettings } from "../settings/index.ts";
import { selectEvents, type Timeline } from "../timeline/index.ts";
import { createConfigOperations } from "./entry_config_operations.ts";
import { readMergedTimeline } from "./entry_timeline.ts";
import type { ReadyBackends } from "./ready_backends.ts";

/** The parts of an entry instance that operators see. */
export interface EntryParts {
  readonly settings: ResolvedEntrySettings;
  readonly config: ConfigStream;
  readonly directory: InstanceDirectory;
  readonly membership: Membership;
  readonly transport: TrpcPeerTransport;
  readonly fleet: StreamView<FleetState>;
  readonly configWriter: LogWriter;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly backends: ReadyBackends;
  readonly calls: InFlightCalls;
  readonly timeline: Timeline;
  readonly maxObservationAgeMs: number;
  readonly notReadyReason: () => string | undefined;
}

/** Creates what operators can do on an entry instance. */
export function createEntryOperations(parts: EntryParts): AdminOperations {
  return {
    status: () => Effect.sync(() => describeStatus(parts)),
    replicas: () => describeReplicas(parts),
    timeline: (filter) =>
      Effect.sync(() => selectEvents(parts.timeline.latest(), filter)),
    mergedTimeline: (filter) => readMergedTimeline(parts, filter),
    ...createConfigOperations(parts),
  };
}

function describeStatus(parts: EntryParts): EntryStatus {
  const { settings, backends } = parts;
  const { version, acceptedAtMs, config } = parts.config.current();
  const services = Object.entries(config.services).map(([name, service]) => ({
    service: name,
    kind: service.kind,
    wantedReplicas: service.replicaCount,
    readyReplicas: service.kind === "model"
      ? backends.listReplicas(name).length
      : backends.listPlain(name).length,
  }));
  return {
    instanceId: settings.instanceId,
    availabilityZone: settings.availabilityZone,
    notReadyReason: parts.notReadyReason(),
    configVersion: version,
    configAcceptedAtMs: acceptedAtMs,
    callsInFlight: parts.calls.count,
    liveEntries: parts.membership.listLiveIds(),
    drains: Object.keys(config.drains ?? {}),
    services,
  };
}

function describeReplicas(
  parts: EntryParts,
): Effect.Effect<ReplicaDescription[]> {
  return Effect.gen(function* () {
    const nowMs = yield* Clock.currentTimeMillis;
    const { observations, maxObservationAgeMs } = parts;
    const replicas = [...HashMap.values(parts.fleet.current().replicas)];
    const ordered = replicas.toSorted((a, b) =>
      a.service < b.service ? -1 : a.service > b.service ? 1 : a.slot - b.slot
    );
    return ordered.map((replica) => {
      const health = findReplicaHealth(replica, {
        observations,
        nowMs,
        maxAgeMs: maxObservationAgeMs,
      });
      return {
        replicaId: replica.replicaId,
        state: health.state,
        fencingNumber: replica.fencingNumber,
        members: replica.members,
        faultyMembers: health.state === "ready" ? [] : health.members,
      };
    });
  });
}
