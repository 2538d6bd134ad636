import { groupBy } from "../collections/index.ts";
import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import type { SpareOrder } from "./plan_spares.ts";

/** What the exchange of weights on hosts looks at. */
export interface CrossStagingInput {
  readonly models: readonly ServedModel[];
  readonly replicas: readonly ReplicaRecord[];
  readonly findInstance: (id: string) => InstanceState | undefined;
}

/**
 * Lets members of the largest and the smallest replica of a domain hold each
 * other's weights on their hosts. Each model keeps as many copies in the
 * domain, and what is left of one replica can soon serve the other model.
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
    // The larger model keeps one copy more, in case a host is lost.
    const giving = first.members.slice(1).slice(1 - second.members.length);
    return [
      ...stage(input, second.members, large),
      ...stage(input, giving, small),
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
