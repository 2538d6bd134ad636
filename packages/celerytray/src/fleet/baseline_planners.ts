import { HashMap } from "effect";
import { createDomainPools } from "./domain_pool.ts";
import { findUnwantedReason } from "./greedy_planner.ts";
import { placeReplicas } from "./place_replicas.ts";
import {
  type FleetObservation,
  type FleetProposal,
  isUsable,
  type ReplicaPlanner,
} from "./planner_types.ts";

/** Forms spread-out replicas and waits for lost members without a limit. */
export class AlwaysWaitPlanner implements ReplicaPlanner {
  observe(): void {}

  plan(observation: FleetObservation): readonly FleetProposal[] {
    return planWith(observation, () => undefined);
  }
}

/** Dissolves a replica when it loses a member; forms it again, spread out. */
export class ReformAtOncePlanner implements ReplicaPlanner {
  observe(): void {}

  plan(observation: FleetObservation): readonly FleetProposal[] {
    return planWith(
      observation,
      (members) => members.find((member) => !isUsable(member, observation)),
    );
  }
}

function planWith(
  observation: FleetObservation,
  findLost: (members: readonly string[]) => string | undefined,
): FleetProposal[] {
  const dissolutions: FleetProposal[] = [];
  for (const replica of HashMap.values(observation.fleet.replicas)) {
    const { service, slot, fencingNumber, members } = replica;
    const lost = findLost(members);
    const reason = findUnwantedReason(replica, observation) ??
      (lost === undefined ? undefined : `lost ${lost}`);
    if (reason === undefined) continue;
    dissolutions.push({
      kind: "dissolve",
      service,
      slot,
      fencingNumber,
      reason,
    });
  }
  const formations = placeReplicas({
    observation,
    pools: createDomainPools(observation),
    dissolved: new Set(),
    matchesLoadedRanks: false,
  });
  return [...dissolutions, ...formations];
}
