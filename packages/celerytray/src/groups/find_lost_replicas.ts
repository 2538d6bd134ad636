import type { ControllerState } from "./controller_state.ts";
import type { EngineSpecs } from "./formation_planner.ts";
import type { InstanceState, ReplicaMembership } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Replicas without a record that were recorded in an earlier era. */
export interface LostReplicas {
  /** Complete replicas, with the records that the store has lost. */
  readonly complete: readonly ReplicaRecord[];
  /** Names of those that lack members. */
  readonly incomplete: readonly string[];
}

/** An instance that is a member of a replica. */
type Member = InstanceState & { readonly membership: ReplicaMembership };

/**
 * Finds replicas whose records the store lost when it came back from an older
 * copy. The instances' own reports tell their members. A replica is left out as
 * long as the entry of one of its members may be of the copy itself.
 */
export function findLostReplicas(
  { state, engines, nowMs }: {
    readonly state: ControllerState;
    readonly engines: EngineSpecs;
    readonly nowMs: number;
  },
): LostReplicas {
  const complete: ReplicaRecord[] = [];
  const incomplete: string[] = [];
  for (const [name, members] of groupMembers(state)) {
    if (!members.every(({ id }) => state.instances.isSettled(id, nowMs))) {
      continue;
    }
    const record = createRecord(name, members, engines);
    if (record === undefined) incomplete.push(name);
    else complete.push(record);
  }
  return { complete, incomplete };
}

/** Members of the replicas that await a record, by the replica's name. */
function groupMembers(state: ControllerState): Map<string, Member[]> {
  const groups = new Map<string, Member[]>();
  for (const instance of state.instances.list()) {
    const { membership } = instance;
    if (membership === undefined || !state.awaitsRecord(instance)) continue;
    const members = groups.get(membership.replica) ?? [];
    groups.set(membership.replica, members);
    members.push({ ...instance, membership });
  }
  return groups;
}

/** The record of a replica; undefined unless each of its members is known. */
function createRecord(
  name: string,
  members: readonly Member[],
  engines: EngineSpecs,
): ReplicaRecord | undefined {
  const ranked = members.toSorted((one, other) =>
    one.membership.rank - other.membership.rank
  );
  const [head] = ranked;
  const model = head?.loadedModel;
  if (head === undefined || model === undefined) return undefined;
  const size = engines.get(head.service)?.models
    .find((spec) => spec.name === model)?.size;
  const { epoch } = head.membership;
  const isComplete = ranked.length === size &&
    ranked.every(({ membership, service }, rank) =>
      membership.rank === rank && membership.epoch === epoch &&
      service === head.service
    );
  if (!isComplete) return undefined;
  return {
    name,
    service: head.service,
    model,
    epoch,
    members: ranked.map(({ id }) => id),
    incarnations: Object.fromEntries(
      ranked.map(({ id, address, bornAtMs }) => [id, {
        address,
        ...(bornAtMs === undefined ? {} : { bornAtMs }),
      }]),
    ),
  };
}
