import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** What the worth of replicas is weighed by. */
export interface DivisionRules {
  readonly service: string;
  readonly models: readonly ServedModel[];
  /** Model whose weights an instance has in memory. */
  readonly hotModel: (instanceId: string) => string | undefined;
  /** Model that a free instance is loading. */
  readonly preparedModel: (instanceId: string) => string | undefined;
  /** Whether no request has come yet: loads are short, domains still fill. */
  readonly isEarly: boolean;
  /** Requests in progress for a model, as a part of its replicas' places. */
  readonly fill: (model: string, replicas: number) => number;
}

/** Instances of a domain to divide into replicas. */
export interface Pool {
  readonly instances: readonly InstanceState[];
  /** Models that replicas may be formed of. */
  readonly models: readonly ServedModel[];
  /** Replicas of each model that serve or are to serve. */
  readonly counts: ReplicaCounts;
}

/** Replicas of each model. */
export type ReplicaCounts = ReadonlyMap<string, number>;

/** A replica to form. */
export type Formation = Omit<ReplicaRecord, "name" | "epoch">;

/** Replicas that a pool is divided into, and their worth together. */
export interface Division {
  readonly worth: number;
  readonly formations: readonly DividedFormation[];
}

/** One replica of a division. */
export interface DividedFormation {
  readonly formation: Formation;
  readonly worth: number;
  /** Whether no member has to load weights from the store. */
  readonly isPrepared: boolean;
}

/** Time over which a replica's worth is weighed against its loading. */
const HORIZON_MS = 30_000;
/** Keeps the need finite, and largest, where there is no replica. */
const FIRST_REPLICA_BIAS = 0.5;
/** Weight of the wanted shares against the fill. */
const EVEN_FILL = 0.5;
/** Part of the worth that a replica has however long it loads. */
const LEAST_PART = 0.05;

/** Part of their usual time that loads take before the first request. */
const EARLY_LOAD_PART = 0.1;

/** The division of a pool that is worth most; undefined if none is possible. */
export function findBestDivision(
  rules: DivisionRules,
  { instances, models, counts }: Pool,
): Division | undefined {
  let best: Division | undefined;
  for (const sequence of listSequences(models)) {
    const division = findDivision(rules, { sequence, counts, instances });
    if (division !== undefined && division.worth > (best?.worth ?? 0)) {
      best = division;
    }
  }
  return best;
}

/** What a further replica of a model is worth. */
export function worthOfReplica(
  rules: DivisionRules,
  model: ServedModel,
  counts: ReplicaCounts,
): number {
  return needOf(rules, model, counts) * model.size;
}

/** Replicas of each model among some. */
export function countReplicas(
  models: readonly ServedModel[],
  replicas: readonly ReplicaRecord[],
): Map<string, number> {
  const counts = new Map(models.map(({ name }) => [name, 0]));
  for (const { model } of replicas) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

/**
 * How much a model lacks replicas, for each instance of one: by the share of
 * the instances that it is meant to have, and by how full its replicas are.
 */
export function needOf(
  rules: DivisionRules,
  model: ServedModel,
  counts: ReplicaCounts,
): number {
  const replicas = counts.get(model.name) ?? 0;
  const wanted = model.instanceShare / model.size;
  const fill = rules.fill(model.name, replicas);
  return (wanted / (replicas + FIRST_REPLICA_BIAS)) * (EVEN_FILL + fill);
}

interface Dividing {
  /** Models that may take members, each after those before it. */
  readonly sequence: readonly ServedModel[];
  readonly counts: ReplicaCounts;
  readonly instances: readonly InstanceState[];
}

/** Orders in which models take their members: each first, the others after. */
function listSequences(
  models: readonly ServedModel[],
): readonly (readonly ServedModel[])[] {
  return models.map((first) => [
    first,
    ...models.filter((model) => model !== first),
  ]);
}

/**
 * The replicas of a pool that are worth most together. All replicas of a model
 * take their members before those of the next one, which bounds the divisions
 * to be weighed by their counts of replicas.
 */
function findDivision(
  rules: DivisionRules,
  { sequence, counts, instances }: Dividing,
): Division | undefined {
  let best: Division | undefined;
  for (const [index, model] of sequence.entries()) {
    if (instances.length < model.size) continue;
    const members = [...instances].sort((a, b) =>
      loadMs(rules, model, a) - loadMs(rules, model, b)
    ).slice(0, model.size);
    const readyMs = Math.max(
      ...members.map((member) => loadMs(rules, model, member)),
    );
    const own = worthOfReplica(rules, model, counts) *
      Math.max(LEAST_PART, 1 - readyMs / HORIZON_MS);
    const used = new Set(members);
    const rest = findDivision(rules, {
      sequence: sequence.slice(index),
      counts: new Map(counts).set(
        model.name,
        (counts.get(model.name) ?? 0) + 1,
      ),
      instances: instances.filter((instance) => !used.has(instance)),
    });
    const worth = own + (rest?.worth ?? 0);
    if (best !== undefined && worth <= best.worth) continue;
    best = {
      worth,
      formations: [
        {
          formation: createFormation(rules, model, members),
          worth: own,
          isPrepared: readyMs <= model.warmMs,
        },
        ...rest?.formations ?? [],
      ],
    };
  }
  return best;
}

function createFormation(
  { service }: DivisionRules,
  model: ServedModel,
  members: readonly InstanceState[],
): Formation {
  return {
    service,
    model: model.name,
    members: members.map(({ id }) => id),
    incarnations: Object.fromEntries(
      members.map(({ id, address, bornAtMs }) => [
        id,
        bornAtMs === undefined ? { address } : { address, bornAtMs },
      ]),
    ),
  };
}

/** Time until an instance could serve a model. */
function loadMs(
  rules: DivisionRules,
  model: ServedModel,
  instance: InstanceState,
): number {
  if (rules.hotModel(instance.id) === model.name) return 0;
  if (instance.stagedModels.includes(model.name)) return model.warmMs;
  const loadMs = model.loadMs * (rules.isEarly ? EARLY_LOAD_PART : 1);
  return rules.preparedModel(instance.id) === model.name ? loadMs / 2 : loadMs;
}
