import type { ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import { selectOutdated } from "./select_outdated.ts";
import { groupBy } from "../collections/index.ts";
import type { Replica } from "./fold_fleet_record.ts";
import {
  type FleetObservation,
  type FleetProposal,
  isUsable,
} from "./planner_types.ts";

/**
 * Dissolutions of the replicas that the configuration no longer calls for, by
 * replica identifier: those of removed or resized services, those with outdated
 * weights, and those beyond the wanted number.
 */
export function findSurplus(
  observation: FleetObservation,
  mayExceedTarget: (service: ModelService) => boolean,
): Map<string, FleetProposal> {
  const surplus = new Map<string, FleetProposal>();
  const byService = groupBy(
    HashMap.values(observation.fleet.replicas),
    ({ service }) => service,
  );
  const lacksReplicas = isAnyServiceShort(observation, byService);
  for (const [name, replicas] of byService) {
    const service = observation.config.services[name];
    const add = (replica: Replica, reason: string) =>
      surplus.set(replica.replicaId, createDissolution(replica, reason));
    if (service?.kind !== "model") {
      for (const replica of replicas) add(replica, "service-removed");
      continue;
    }
    const fitting = replicas.filter((replica) => {
      const fits = replica.members.length === service.instancesPerReplica;
      if (!fits) add(replica, "resized");
      return fits;
    });
    for (const replica of selectOutdated(fitting, { service, observation })) {
      add(replica, "outdated");
    }
    const count = fitting.length - service.replicaCount;
    if (count <= 0) continue;
    const keepsExtra = service.replicaCount > 0 && mayExceedTarget(service);
    const incomplete = findIncomplete(fitting, observation);
    const dissolveCount = keepsExtra && !lacksReplicas
      ? 0
      : keepsExtra
      ? Math.min(1, count)
      : count;
    for (
      const replica of rankSurplus(fitting, incomplete).slice(0, dissolveCount)
    ) {
      add(replica, "not-wanted");
    }
  }
  return surplus;
}

/** Whether a service lacks replicas, so that others should free instances. */
function isAnyServiceShort(
  { config }: FleetObservation,
  byService: ReadonlyMap<string, readonly Replica[]>,
): boolean {
  return Object.entries(config.services).some(([name, service]) =>
    service.kind === "model" &&
    (byService.get(name)?.length ?? 0) < service.replicaCount
  );
}

/** Identifiers of the replicas with an unusable member. */
function findIncomplete(
  replicas: readonly Replica[],
  observation: FleetObservation,
): ReadonlySet<string> {
  const incomplete = replicas.filter(({ members }) =>
    members.some((member) => !isUsable(member, observation))
  );
  return new Set(incomplete.map(({ replicaId }) => replicaId));
}

/** Incomplete replicas first, then those with the highest slots. */
function rankSurplus(
  replicas: readonly Replica[],
  incomplete: ReadonlySet<string>,
): Replica[] {
  const priority = ({ replicaId }: Replica) =>
    incomplete.has(replicaId) ? 0 : 1;
  return replicas.toSorted((a, b) =>
    priority(a) - priority(b) || b.slot - a.slot
  );
}

function createDissolution(replica: Replica, reason: string): FleetProposal {
  const { service, slot, fencingNumber } = replica;
  return { kind: "dissolve", service, slot, fencingNumber, reason };
}
