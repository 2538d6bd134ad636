import { Clock, Effect, HashMap } from "effect";
import type {
  AdminOperations,
  EntryStatus,
  ReplicaDescription,
} from "../admin/index.ts";
import { findReplicaHealth } from "../fleet/index.ts";
import { selectEvents } from "../timeline/index.ts";
import { createConfigOperations } from "./entry_config_operations.ts";
import type { EntryParts } from "./entry_parts.ts";
import { readMergedTimeline } from "./entry_timeline.ts";

/** Creates the administrative operations of an entry instance. */
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
