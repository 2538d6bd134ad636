import type { ConfigSet, Instance } from "@celerytray/schema";
import { HashMap } from "effect";
import {
  createReplicaId,
  type FleetState,
  type Replica,
} from "./fold_fleet_record.ts";
import type { MemberObservation } from "./replica_health.ts";

/** Everything that a planning round decides from. */
export interface FleetObservation {
  readonly config: ConfigSet;
  readonly fleet: FleetState;
  /** The platform's list, which lags. */
  readonly instances: readonly Instance[];
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: number;
}

/** A change of the fleet to put on the log. */
export type FleetProposal =
  | {
    readonly kind: "form";
    readonly service: string;
    readonly slot: number;
    readonly members: readonly string[];
  }
  | {
    readonly kind: "dissolve";
    readonly service: string;
    readonly slot: number;
    readonly fencingNumber: number;
    readonly reason: string;
  };

/** Decides which replicas to form and to dissolve. */
export interface ReplicaPlanner {
  plan(observation: FleetObservation): readonly FleetProposal[];
}

/** Age of an observation above which an instance counts as lost. */
const LOST_AFTER_MS = 5_000;

/** Forms from the first free instances and dissolves on the first loss. */
export class GreedyPlanner implements ReplicaPlanner {
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
  const service = observation.config.services[replica.service];
  if (service?.kind !== "model") return "service-removed";
  if (replica.slot >= service.replicaCount) return "not-wanted";
  if (replica.members.length !== service.instancesPerReplica) {
    return "resized";
  }
  const lost = replica.members.find((member) => !isUsable(member, observation));
  return lost === undefined ? undefined : `lost ${lost}`;
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

function isUsable(member: string, observation: FleetObservation): boolean {
  const seen = observation.observations.get(member);
  return seen !== undefined &&
    observation.nowMs - seen.observedAtMs <= LOST_AFTER_MS &&
    seen.status.leaving !== true;
}
