import { groupBy } from "../collections/index.ts";
import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** What the choice of new replicas looks at. */
export interface FormationInput {
  readonly service: string;
  readonly models: readonly ServedModel[];
  /** Instances that are in no replica and may be used. */
  readonly free: readonly InstanceState[];
  /** Replicas of the service that serve or are to serve. */
  readonly replicas: readonly ReplicaRecord[];
  /** Model whose weights an instance has in memory. */
  readonly hotModel: (instanceId: string) => string | undefined;
  /** Model that a free instance is loading. */
  readonly preparedModel: (instanceId: string) => string | undefined;
  /** Whether no more instances are about to arrive in a domain. */
  readonly isFilled: (domain: string) => boolean;
  /** Whether no request has come yet: loads are short, domains still fill. */
  readonly isEarly: boolean;
  /** Requests in progress for a model, as a part of its replicas' places. */
  readonly fill: (model: string, replicas: number) => number;
}

/** A replica to form. */
export type Formation = Omit<ReplicaRecord, "name" | "epoch">;

/** What is to become of the free instances. */
export interface FormationPlan {
  readonly formations: readonly Formation[];
  /** Models that free instances are to load first, by instance. */
  readonly preparations: ReadonlyMap<string, string>;
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

/**
 * Picks the replicas to form of the free instances, domain by domain. Where
 * members of one must load first, it is not formed yet, so that those which are
 * ready stay spares meanwhile.
 */
export function planFormations(input: FormationInput): FormationPlan {
  const counts = new Map(input.models.map(({ name }) => [name, 0]));
  for (const { model } of input.replicas) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  const formations: Formation[] = [];
  const preparations = new Map<string, string>();
  const pools = groupBy(input.free, ({ domain }) => domain ?? "");
  while (true) {
    const next = findNext(input, { counts, pools });
    if (next === undefined) return { formations, preparations };
    pools.delete(next.domain);
    for (const { formation, isPrepared } of next.division.formations) {
      if (input.isEarly || isPrepared) formations.push(formation);
      else {
        for (const id of formation.members) {
          preparations.set(id, formation.model);
        }
      }
      counts.set(formation.model, (counts.get(formation.model) ?? 0) + 1);
    }
  }
}

interface Planning {
  readonly counts: ReadonlyMap<string, number>;
  readonly pools: ReadonlyMap<string, readonly InstanceState[]>;
}

interface Candidate {
  readonly domain: string;
  readonly division: Division;
}

/** The domain whose division into replicas is worth most. */
function findNext(
  input: FormationInput,
  { counts, pools }: Planning,
): Candidate | undefined {
  let best: Candidate | undefined;
  const greatestNeed = Math.max(
    ...input.models.map((model) => needOf(input, model, counts)),
  );
  for (const [domain, pool] of pools) {
    const isFilled = input.isFilled(domain);
    if (input.isEarly && !isFilled) continue;
    // Instances that are about to arrive may make up a replica needed more.
    const models = input.models.filter((model) =>
      isFilled || needOf(input, model, counts) >= greatestNeed
    );
    for (const sequence of listSequences(models)) {
      const division = findDivision(input, { sequence, counts, pool });
      if (division === undefined) continue;
      if (division.worth > (best?.division.worth ?? 0)) {
        best = { domain, division };
      }
    }
  }
  return best;
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

interface Dividing {
  /** Models that may take members, each after those before it. */
  readonly sequence: readonly ServedModel[];
  readonly counts: ReadonlyMap<string, number>;
  readonly pool: readonly InstanceState[];
}

interface Division {
  readonly worth: number;
  readonly formations: readonly DividedFormation[];
}

interface DividedFormation {
  readonly formation: Formation;
  /** Whether no member has to load weights from the store. */
  readonly isPrepared: boolean;
}

/**
 * The replicas of a pool that are worth most together. All replicas of a model
 * take their members before those of the next one, which bounds the divisions
 * to be weighed by their counts of replicas.
 */
function findDivision(
  input: FormationInput,
  { sequence, counts, pool }: Dividing,
): Division | undefined {
  let best: Division | undefined;
  for (const [index, model] of sequence.entries()) {
    if (pool.length < model.size) continue;
    const members = [...pool].sort((a, b) =>
      loadMs(input, model, a) - loadMs(input, model, b)
    ).slice(0, model.size);
    const readyMs = Math.max(
      ...members.map((member) => loadMs(input, model, member)),
    );
    const own = needOf(input, model, counts) * model.size *
      Math.max(LEAST_PART, 1 - readyMs / HORIZON_MS);
    const used = new Set(members);
    const rest = findDivision(input, {
      sequence: sequence.slice(index),
      counts: new Map(counts).set(
        model.name,
        (counts.get(model.name) ?? 0) + 1,
      ),
      pool: pool.filter((instance) => !used.has(instance)),
    });
    const worth = own + (rest?.worth ?? 0);
    if (best !== undefined && worth <= best.worth) continue;
    best = {
      worth,
      formations: [
        {
          formation: createFormation(input, model, members),
          isPrepared: readyMs <= model.warmMs,
        },
        ...rest?.formations ?? [],
      ],
    };
  }
  return best;
}

function createFormation(
  { service }: FormationInput,
  model: ServedModel,
  members: readonly InstanceState[],
): Formation {
  return {
    service,
    model: model.name,
    members: members.map(({ id }) => id),
    lives: Object.fromEntries(
      members.map(({ id, address, bornAtMs }) => [
        id,
        bornAtMs === undefined ? { address } : { address, bornAtMs },
      ]),
    ),
  };
}

/**
 * How much a model lacks replicas, for each instance of one: by the share of
 * the instances that it is meant to have, and by how full its replicas are.
 */
function needOf(
  input: FormationInput,
  model: ServedModel,
  counts: ReadonlyMap<string, number>,
): number {
  const replicas = counts.get(model.name) ?? 0;
  const wanted = model.instanceShare / model.size;
  const fill = input.fill(model.name, replicas);
  return (wanted / (replicas + FIRST_REPLICA_BIAS)) * (EVEN_FILL + fill);
}

/** Time until an instance could serve a model. */
function loadMs(
  input: FormationInput,
  model: ServedModel,
  instance: InstanceState,
): number {
  if (input.hotModel(instance.id) === model.name) return 0;
  if (instance.stagedModels.includes(model.name)) return model.warmMs;
  const loadMs = model.loadMs * (input.isEarly ? EARLY_LOAD_PART : 1);
  return input.preparedModel(instance.id) === model.name ? loadMs / 2 : loadMs;
}
