import { HashMap } from "effect";
import { createReplicaId, type Replica } from "./fold_fleet_record.ts";
import {
  type FleetObservation,
  type FleetProposal,
  isUsable,
  type ReplicaPlanner,
} from "./planner_types.ts";

/** Forms replicas from the first free instances; dissolves on a lost member. */
export class GreedyPlanner implements ReplicaPlanner {
  observe(): void {}

  plan(observation: FleetObservation): readonly FleetProposal[] {
    return [
      ...proposeDissolutions(observation),
      ...proposeFormations(observation),
    ];
  }
}

function proposeDissolutions(observation: FleetObservation): FleetProposal[] {
  const proposals: FleetProposal[] = [];
  for (const replica of HashMap.values(observation.fleet.replicas)) {
    const reason = findDissolveReason(replica, observation);
    if (reason === undefined) continue;
    proposals.push({
      kind: "dissolve",
      service: replica.service,
      slot: replica.slot,
      fencingNumber: replica.fencingNumber,
      reason,
    });
  }
  return proposals;
}

function findDissolveReason(
  replica: Replica,
  observation: FleetObservation,
): string | undefined {
  const unwanted = findUnwantedReason(replica, observation);
  if (unwanted !== undefined) return unwanted;
  const lost = replica.members.find((member) => !isUsable(member, observation));
  return lost === undefined ? undefined : `lost ${lost}`;
}

/** Reason why the configuration no longer calls for a replica, if so. */
export function findUnwantedReason(
  replica: Replica,
  observation: FleetObservation,
): string | undefined {
  const service = observation.config.services[replica.service];
  if (service?.kind !== "model") return "service-removed";
  if (replica.slot >= service.replicaCount) return "not-wanted";
  if (replica.members.length !== service.instancesPerReplica) {
    return "resized";
  }
  return undefined;
}

function proposeFormations(observation: FleetObservation): FleetProposal[] {
  const freeByDomain = groupFreeInstances(observation);
  const proposals: FleetProposal[] = [];
  for (const [name, service] of Object.entries(observation.config.services)) {
    if (service.kind !== "model") continue;
    for (let slot = 0; slot < service.replicaCount; slot++) {
      const replicaId = createReplicaId(name, slot);
      if (HashMap.has(observation.fleet.replicas, replicaId)) continue;
      const members = takeMembers(freeByDomain, service.instancesPerReplica);
      if (members === undefined) break;
      proposals.push({ kind: "form", service: name, slot, members });
    }
  }
  return proposals;
}

function groupFreeInstances(
  observation: FleetObservation,
): Map<string, string[]> {
  const byDomain = new Map<string, string[]>();
  for (const instance of observation.instances) {
    const { fabricDomain, instanceId } = instance;
    if (instance.role !== "engine" || fabricDomain === undefined) continue;
    if (instance.state === "leaving") continue;
    if (HashMap.has(observation.fleet.replicaIdByMember, instanceId)) continue;
    if (!isUsable(instanceId, observation)) continue;
    const members = byDomain.get(fabricDomain) ?? [];
    members.push(instanceId);
    byDomain.set(fabricDomain, members);
  }
  return byDomain;
}

function takeMembers(
  freeByDomain: Map<string, string[]>,
  count: number,
): string[] | undefined {
  for (const free of freeByDomain.values()) {
    if (free.length >= count) return free.splice(0, count);
  }
  return undefined;
}
