import type { ServedModel } from "../serving/index.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";

/** What the preparation of spare instances looks at. */
export interface SpareInput {
  readonly models: readonly ServedModel[];
  /** Instances that are in no replica. */
  readonly free: readonly InstanceState[];
  /** Model whose weights an instance has in memory. */
  readonly hotModel: (instanceId: string) => string | undefined;
  /** Model that an instance is loading. */
  readonly preparedModel: (instanceId: string) => string | undefined;
  /** Models that instances are to load for a replica to come, by instance. */
  readonly wantedModels: ReadonlyMap<string, string>;
  /** Epoch for replicas that never open; below that of any later replica. */
  readonly epoch: number;
}

/** An order that prepares a spare, and whether weights are loaded for it. */
export interface SpareOrder {
  readonly instance: InstanceState;
  readonly order: InstanceOrder;
}

const STANDBY_PREFIX = "standby-";

/**
 * Prepares spares: one model in memory, another on the host, so that a spare
 * can soon take the place of an instance of either.
 */
export function planSpares(input: SpareInput): readonly SpareOrder[] {
  const { models, hotModel, wantedModels, epoch } = input;
  const hotCounts = countHot(input);
  return input.free.flatMap((instance): SpareOrder[] => {
    const domain = instance.domain ?? "";
    if (input.preparedModel(instance.id) !== undefined) return [];
    const hot = hotModel(instance.id);
    const wanted = wantedModels.get(instance.id);
    if (hot === undefined) {
      const model = wanted ?? leastHot(
        models,
        (name) => hotCounts.get(`${domain} ${name}`) ?? 0,
      );
      if (model === undefined) return [];
      const key = `${domain} ${model}`;
      hotCounts.set(key, (hotCounts.get(key) ?? 0) + 1);
      const replica = `${STANDBY_PREFIX}${instance.id}`;
      return [{
        instance,
        order: {
          kind: "join",
          replica,
          epoch,
          model,
          members: [instance.id],
        },
      }];
    }
    const other = findOther(models, { instance, hot, wanted });
    return other === undefined
      ? []
      : [{ instance, order: { kind: "stage", model: other } }];
  });
}

/** Model to put on the host of an instance beside the one in its memory. */
function findOther(
  models: readonly ServedModel[],
  { instance, hot, wanted }: {
    readonly instance: InstanceState;
    readonly hot: string;
    readonly wanted: string | undefined;
  },
): string | undefined {
  const isStaged = (name: string) => instance.stagedModels.includes(name);
  if (wanted !== undefined && wanted !== hot && !isStaged(wanted)) {
    return wanted;
  }
  const others = models.filter(({ name }) => name !== hot);
  return others.some(({ name }) => isStaged(name))
    ? undefined
    : others[0]?.name;
}

function countHot(
  { free, hotModel, preparedModel }: SpareInput,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id, domain } of free) {
    const key = `${domain ?? ""} ${preparedModel(id) ?? hotModel(id)}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

/** The model with the fewest spares; larger replicas lose members more often. */
function leastHot(
  models: readonly ServedModel[],
  countOf: (model: string) => number,
): string | undefined {
  const ranked = [...models].sort((a, b) =>
    (countOf(a.name) + 1) / a.size - (countOf(b.name) + 1) / b.size
  );
  return ranked[0]?.name;
}
