import type { EngineStatus } from "@celerytray/schema";
import type { Replica } from "./fold_fleet_record.ts";

/** The last status read from an instance. */
export interface MemberObservation {
  readonly status: EngineStatus;
  readonly observedAtMs: number;
}

/** Whether a replica may serve, and if not, which members prevent it. */
export type ReplicaHealth =
  | { readonly state: "ready" }
  | { readonly state: "loading"; readonly members: readonly string[] }
  | { readonly state: "mismatched"; readonly members: readonly string[] }
  | { readonly state: "incomplete"; readonly members: readonly string[] };

/** Input of a health check. */
export interface HealthInput {
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: number;
  /** Age above which an observation is ignored. */
  readonly maxAgeMs: number;
}

/**
 * Health of a replica. It is ready only while each member was seen recently,
 * with the replica's identifier and fencing number, and has loaded its weights.
 */
export function findReplicaHealth(
  replica: Replica,
  input: HealthInput,
): ReplicaHealth {
  const missing: string[] = [];
  const mismatched: string[] = [];
  const loading: string[] = [];
  for (const member of replica.members) {
    const observation = input.observations.get(member);
    if (
      observation === undefined ||
      input.nowMs - observation.observedAtMs > input.maxAgeMs
    ) {
      missing.push(member);
    } else if (!matchesReplica(observation.status, replica)) {
      mismatched.push(member);
    } else if (holdsOtherRank(observation.status)) {
      mismatched.push(member);
    } else if (observation.status.state !== "ready") {
      loading.push(member);
    }
  }
  if (missing.length > 0) return { state: "incomplete", members: missing };
  if (mismatched.length > 0) {
    return { state: "mismatched", members: mismatched };
  }
  if (hasMixedVersions(replica, input)) {
    return { state: "mismatched", members: replica.members };
  }
  if (loading.length > 0) return { state: "loading", members: loading };
  return { state: "ready" };
}

/** Whether an engine is assigned to exactly this formation of the replica. */
export function matchesReplica(
  status: EngineStatus,
  replica: Replica,
): boolean {
  const { assignment } = status;
  return assignment !== undefined &&
    assignment.replicaId === replica.replicaId &&
    assignment.fencingNumber === replica.fencingNumber &&
    assignment.rank === replica.members.indexOf(status.instanceId);
}

/** Whether members hold different models or versions. */
function hasMixedVersions(
  { members }: Replica,
  { observations }: HealthInput,
): boolean {
  const first = observations.get(members[0]!)?.status;
  return members.some((member) => {
    const status = observations.get(member)?.status;
    return status?.model !== first?.model ||
      status?.modelVersion !== first?.modelVersion;
  });
}

/** Whether an engine holds the weights of a rank other than its own. */
export function holdsOtherRank(
  { assignment, loadedRank }: EngineStatus,
): boolean {
  return loadedRank !== undefined && loadedRank !== assignment?.rank;
}

/** Whether an engine is loading weights, for a replica or as a preload. */
export function isLoading(status: EngineStatus): boolean {
  return status.state === "loading" || (status.loadedFraction ?? 1) < 1;
}

/** Weights that a member of a replica has to hold. */
export interface WantedWeights {
  readonly model: string;
  readonly modelVersion?: string;
  readonly rank: number;
}

/** Whether an engine holds or loads these weights. */
export function hasWeights(
  status: EngineStatus,
  { model, modelVersion, rank }: WantedWeights,
): boolean {
  return status.model === model && status.modelVersion === modelVersion &&
    status.loadedRank === rank;
}
