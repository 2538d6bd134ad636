import { groupBy } from "../collections/index.ts";
import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import type { SpareOrder } from "./plan_spares.ts";

/** Input of `planCrossStaging`. */
export interface CrossStagingInput {
  readonly models: readonly ServedModel[];
  readonly replicas: readonly ReplicaRecord[];
  readonly findInstance: (id: string) => InstanceState | undefined;
}

/**
 * Orders hosts of a replica of the largest model and of one of the smallest
 * model, in the same fabric domain, to stage each other's weights. Each model
 * keeps its number of copies in the domain, and the remaining members of one
 * replica can soon serve the other model.
 */
export function planCrossStaging(
  input: CrossStagingInput,
): readonly SpareOrder[] {
  const { models } = input;
  if (models.length < 2) return [];
  const bySize = [...models].sort((a, b) => b.size - a.size);
  const large = bySize[0]!.name;
  const small = bySize.at(-1)!.name;
  const byDomain = groupBy(
    input.replicas,
    ({ members }) => input.findInstance(members[0]!)?.domain ?? "",
  );
  return [...byDomain.values()].flatMap((replicas) => {
    const first = replicas.find(({ model }) => model === large);
    const second = replicas.find(({ model }) => model === small);
    if (first === undefined || second === undefined) return [];
    // The larger model keeps one more copy, in case a host is lost.
    const stagingMembers = first.members.slice(1).slice(
      1 - second.members.length,
    );
    return [
      ...stage(input, second.members, large),
      ...stage(input, stagingMembers, small),
    ];
  });
}

function stage(
  { findInstance }: CrossStagingInput,
  members: readonly string[],
  model: string,
): readonly SpareOrder[] {
  return members.flatMap((id) => {
    const instance = findInstance(id);
    const state = instance?.membership?.state;
    if (instance === undefined || state === "joining") return [];
    return instance.stagedModels.includes(model)
      ? []
      : [{ instance, order: { kind: "stage", model } }];
  });
}
