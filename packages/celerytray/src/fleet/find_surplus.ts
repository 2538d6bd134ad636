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
 * Replicas that the configuration asks for no more, with their dissolutions:
 * of removed or resized services, and beyond the number wanted.
 */
export function findSurplus(
  observation: FleetObservation,
  mayExceed: (service: ModelService) => boolean,
): Map<string, FleetProposal> {
  const surplus = new Map<string, FleetProposal>();
  const byService = groupBy(
    HashMap.values(observation.fleet.replicas),
    ({ service }) => service,
  );
  const isShort = isAnyServiceShort(observation, byService);
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
    const keeps = service.replicaCount > 0 && mayExceed(service);
    const broken = findBroken(fitting, observation);
    const given = keeps && !isShort ? 0 : keeps ? Math.min(1, count) : count;
    for (
      const replica of orderForDissolution(fitting, broken).slice(0, given)
    ) {
      add(replica, "not-wanted");
    }
  }
  return surplus;
}

/** Whether a service lacks replicas, so that others should yield instances. */
function isAnyServiceShort(
  { config }: FleetObservation,
  byService: ReadonlyMap<string, readonly Replica[]>,
): boolean {
  return Object.entries(config.services).some(([name, service]) =>
    service.kind === "model" &&
    (byService.get(name)?.length ?? 0) < service.replicaCount
  );
}

function findBroken(
  replicas: readonly Replica[],
  observation: FleetObservation,
): ReadonlySet<string> {
  const broken = replicas.filter(({ members }) =>
    members.some((member) => !isUsable(member, observation))
  );
  return new Set(broken.map(({ replicaId }) => replicaId));
}

/** Broken replicas first, then those with the highest slots. */
function orderForDissolution(
  replicas: readonly Replica[],
  broken: ReadonlySet<string>,
): Replica[] {
  const rank = ({ replicaId }: Replica) => broken.has(replicaId) ? 0 : 1;
  return replicas.toSorted((a, b) => rank(a) - rank(b) || b.slot - a.slot);
}

function createDissolution(replica: Replica, reason: string): FleetProposal {
  const { service, slot, fencingNumber } = replica;
  return { kind: "dissolve", service, slot, fencingNumber, reason };
}
