import type { EngineStatus, ModelService } from "@celerytray/schema";
import type { Replica } from "./fold_fleet_record.ts";
import type { FleetObservation } from "./planner_types.ts";
import { matchesReplica } from "./replica_health.ts";

/** Wanted model version of a service, and the observed ones. */
export interface VersionInput {
  readonly service: ModelService;
  readonly observation: FleetObservation;
}

/** Share of a service's replicas that may change their version at once. */
const MAX_CHANGING_SHARE = 0.05;

/**
 * Replicas to form again because they hold another model or version than the
 * service wants: a few at a time, plus all that hold two versions, since those
 * cannot serve.
 */
export function selectOutdated(
  replicas: readonly Replica[],
  input: VersionInput,
): Replica[] {
  const mixed: Replica[] = [];
  const outdated: Replica[] = [];
  let unreadyCount = 0;
  for (const replica of replicas) {
    const count = countOutdated(replica, input);
    if (count === undefined) unreadyCount += 1;
    else if (count === replica.members.length) outdated.push(replica);
    else if (count > 0) mixed.push(replica);
  }
  const share = Math.floor(input.service.replicaCount * MAX_CHANGING_SHARE);
  const room = Math.max(1, share) - unreadyCount - mixed.length;
  return [...mixed, ...outdated.slice(0, Math.max(0, room))];
}

/** Counts members with another version; undefined unless all are ready. */
function countOutdated(
  replica: Replica,
  { service, observation }: VersionInput,
): number | undefined {
  let count = 0;
  for (const member of replica.members) {
    const status = observation.observations.get(member)?.status;
    if (status?.state !== "ready" || !matchesReplica(status, replica)) {
      return undefined;
    }
    if (!holdsVersion(status, service)) count += 1;
  }
  return count;
}

function holdsVersion(
  { model, modelVersion }: EngineStatus,
  service: ModelService,
): boolean {
  return model === undefined ||
    model === service.model && modelVersion === service.modelVersion;
}
