import type { ServedModel } from "../serving/index.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";

/** Input of `planSpares`. */
export interface SpareInput {
  readonly models: readonly ServedModel[];
  /** Instances that are in no replica. */
  readonly free: readonly InstanceState[];
  /** Model whose weights an instance has in memory. */
  readonly heldModel: (instanceId: string) => string | undefined;
  /** Model that an instance is loading. */
  readonly preparingModel: (instanceId: string) => string | undefined;
  /** Model to load for a replica that is yet to be formed, by instance. */
  readonly wantedModels: ReadonlyMap<string, string>;
  /** Epoch of standby replicas, which never open; below any later epoch. */
  readonly epoch: number;
}

/** An order that prepares a spare. */
export interface SpareOrder {
  readonly instance: InstanceState;
  readonly order: InstanceOrder;
}

const STANDBY_PREFIX = "standby-";

/**
 * Orders spares to load one model into memory and to stage another on their
 * host, so that a spare can soon replace an instance of either model.
 */
export function planSpares(input: SpareInput): readonly SpareOrder[] {
  const { models, heldModel, wantedModels, epoch } = input;
  const spareCounts = countSpares(input);
  return input.free.flatMap((instance): SpareOrder[] => {
    const domain = instance.domain ?? "";
    if (input.preparingModel(instance.id) !== undefined) return [];
    const held = heldModel(instance.id);
    const wanted = wantedModels.get(instance.id);
    if (held === undefined) {
      const model = wanted ?? findScarcestModel(
        models,
        (name) => spareCounts.get(`${domain} ${name}`) ?? 0,
      );
      if (model === undefined) return [];
      const key = `${domain} ${model}`;
      spareCounts.set(key, (spareCounts.get(key) ?? 0) + 1);
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
    const other = findModelToStage(models, { instance, held, wanted });
    return other === undefined
      ? []
      : [{ instance, order: { kind: "stage", model: other } }];
  });
}

/** Model to stage on an instance's host, besides the one in its memory. */
function findModelToStage(
  models: readonly ServedModel[],
  { instance, held, wanted }: {
    readonly instance: InstanceState;
    readonly held: string;
    readonly wanted: string | undefined;
  },
): string | undefined {
  const isStaged = (name: string) => instance.stagedModels.includes(name);
  if (wanted !== undefined && wanted !== held && !isStaged(wanted)) {
    return wanted;
  }
  const others = models.filter(({ name }) => name !== held);
  return others.some(({ name }) => isStaged(name))
    ? undefined
    : others[0]?.name;
}

/** Counts spares by domain and by the model that they have or load. */
function countSpares(
  { free, heldModel, preparingModel }: SpareInput,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id, domain } of free) {
    const key = `${domain ?? ""} ${preparingModel(id) ?? heldModel(id)}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

/**
 * The model with the fewest spares relative to its replica size, since larger
 * replicas lose members more often.
 */
function findScarcestModel(
  models: readonly ServedModel[],
  countOf: (model: string) => number,
): string | undefined {
  const ranked = [...models].sort((a, b) =>
    (countOf(a.name) + 1) / a.size - (countOf(b.name) + 1) / b.size
  );
  return ranked[0]?.name;
}
