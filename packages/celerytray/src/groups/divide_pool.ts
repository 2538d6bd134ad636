import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Input from which the value of replicas is computed. */
export interface DivisionRules {
  readonly service: string;
  readonly models: readonly ServedModel[];
  /** Model whose weights an instance has in memory. */
  readonly heldModel: (instanceId: string) => string | undefined;
  /** Load of weights that a free instance has begun. */
  readonly findPreparation: (instanceId: string) => Preparation | undefined;
  /**
   * Whether no request has arrived yet. Until then loads are short, and domains
   * are still gaining instances.
   */
  readonly precedesTraffic: boolean;
  /** Requests in progress for a model, as a fraction of its replicas' slots. */
  readonly utilisation: (model: string, replicas: number) => number;
}

/** Free instances of a fabric domain to divide into replicas. */
export interface Pool {
  readonly instances: readonly InstanceState[];
  /** Models for which replicas may be formed. */
  readonly models: readonly ServedModel[];
  /** Replicas of each model that serve or are being formed. */
  readonly counts: ReplicaCounts;
}

/** A load of weights into an instance that is in no replica. */
export interface Preparation {
  readonly model: string;
  /** Time since the load was ordered. */
  readonly elapsedMs: number;
}

/** Number of replicas by model name. */
export type ReplicaCounts = ReadonlyMap<string, number>;

/** A replica to form. */
export type Formation = Omit<ReplicaRecord, "name" | "epoch">;

/** A division of a pool into replicas, with their total value. */
export interface Division {
  readonly value: number;
  readonly formations: readonly DividedFormation[];
}

/** One replica of a division. */
export interface DividedFormation {
  readonly formation: Formation;
  readonly value: number;
  /** Whether no member has to load weights from the weight store. */
  readonly isPrepared: boolean;
}

/** Loading time at which a replica would lose all of its value. */
const LOAD_HORIZON_MS = 30_000;
/** Keeps the need finite, yet largest, for a model without replicas. */
const FIRST_REPLICA_BIAS = 0.5;
/** Added to the utilisation, so that idle models keep their share. */
const BASE_UTILISATION = 0.5;
/** Fraction of its value that a replica keeps however long it loads. */
const MIN_VALUE_FACTOR = 0.05;

/** Remaining time of a load that takes longer than usual. */
const MIN_REMAINING_LOAD_MS = 2_000;

/** Duration of loads before the first request, relative to the usual one. */
const PRE_TRAFFIC_LOAD_FACTOR = 0.1;

/** The division of a pool with the highest value; undefined if none exists. */
export function findBestDivision(
  rules: DivisionRules,
  { instances, models, counts }: Pool,
): Division | undefined {
  let best: Division | undefined;
  for (const sequence of listSequences(models)) {
    const division = findDivision(rules, { sequence, counts, instances });
    if (division !== undefined && division.value > (best?.value ?? 0)) {
      best = division;
    }
  }
  return best;
}

/** Value of one more replica of a model. */
export function replicaValue(
  rules: DivisionRules,
  model: ServedModel,
  counts: ReplicaCounts,
): number {
  return modelNeed(rules, model, counts) * model.size;
}

/** Counts replicas by model. */
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
 * How much a model needs another replica, per instance of that replica. Grows
 * with the model's configured share of the instances and with the utilisation
 * of its replicas.
 */
export function modelNeed(
  rules: DivisionRules,
  model: ServedModel,
  counts: ReplicaCounts,
): number {
  const replicas = counts.get(model.name) ?? 0;
  const wanted = model.instanceShare / model.size;
  const utilisation = rules.utilisation(model.name, replicas);
  return (wanted / (replicas + FIRST_REPLICA_BIAS)) *
    (BASE_UTILISATION + utilisation);
}

interface DivisionStep {
  /** Models that may take members, in this order. */
  readonly sequence: readonly ServedModel[];
  readonly counts: ReplicaCounts;
  readonly instances: readonly InstanceState[];
}

/** Sequences in which models take members: each model first in one of them. */
function listSequences(
  models: readonly ServedModel[],
): readonly (readonly ServedModel[])[] {
  return models.map((first) => [
    first,
    ...models.filter((model) => model !== first),
  ]);
}

/**
 * The division of a pool with the highest value for a sequence of models. All
 * replicas of a model take their members before those of the next model, so the
 * number of divisions to compare is bounded by the possible replica counts.
 */
function findDivision(
  rules: DivisionRules,
  { sequence, counts, instances }: DivisionStep,
): Division | undefined {
  let best: Division | undefined;
  for (const [index, model] of sequence.entries()) {
    if (instances.length < model.size) continue;
    const members = [...instances].sort((a, b) =>
      timeToReadyMs(rules, model, a) - timeToReadyMs(rules, model, b)
    ).slice(0, model.size);
    const readyMs = Math.max(
      ...members.map((member) => timeToReadyMs(rules, model, member)),
    );
    const ownValue = replicaValue(rules, model, counts) *
      Math.max(MIN_VALUE_FACTOR, 1 - readyMs / LOAD_HORIZON_MS);
    const used = new Set(members);
    const rest = findDivision(rules, {
      sequence: sequence.slice(index),
      counts: new Map(counts).set(
        model.name,
        (counts.get(model.name) ?? 0) + 1,
      ),
      instances: instances.filter((instance) => !used.has(instance)),
    });
    const value = ownValue + (rest?.value ?? 0);
    if (best !== undefined && value <= best.value) continue;
    best = {
      value,
      formations: [
        {
          formation: createFormation(rules, model, members),
          value: ownValue,
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

/** Estimated time until an instance can serve a model. */
function timeToReadyMs(
  rules: DivisionRules,
  model: ServedModel,
  instance: InstanceState,
): number {
  if (rules.heldModel(instance.id) === model.name) return 0;
  if (instance.stagedModels.includes(model.name)) return model.warmMs;
  const loadMs = model.loadMs *
    (rules.precedesTraffic ? PRE_TRAFFIC_LOAD_FACTOR : 1);
  const preparation = rules.findPreparation(instance.id);
  if (preparation?.model !== model.name) return loadMs;
  return Math.max(MIN_REMAINING_LOAD_MS, loadMs - preparation.elapsedMs);
}
