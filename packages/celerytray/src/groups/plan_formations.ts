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
  /** Requests that run or wait for a model; undefined where none is known. */
  readonly demand: (model: string) => number | undefined;
}

/** A replica to form. */
export type Formation = Omit<ReplicaRecord, "name" | "epoch">;

/** Picks the replicas to form of the free instances, domain by domain. */
export function planFormations(input: FormationInput): readonly Formation[] {
  const counts = new Map(input.models.map(({ name }) => [name, 0]));
  for (const { model } of input.replicas) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  const formations: Formation[] = [];
  const pools = groupByDomain(input.free);
  while (true) {
    const next = findNext(input, { counts, pools });
    if (next === undefined) return formations;
    formations.push(next.formation);
    counts.set(
      next.formation.model,
      (counts.get(next.formation.model) ?? 0) + 1,
    );
    const used = new Set(next.formation.members);
    pools.set(
      next.domain,
      pools.get(next.domain)!.filter(({ id }) => !used.has(id)),
    );
  }
}

interface Planning {
  readonly counts: ReadonlyMap<string, number>;
  readonly pools: ReadonlyMap<string, readonly InstanceState[]>;
}

interface Candidate {
  readonly domain: string;
  readonly formation: Formation;
}

/** The most needed model that fits a domain, where least has to be loaded. */
function findNext(
  input: FormationInput,
  { counts, pools }: Planning,
): Candidate | undefined {
  const byNeed = [...input.models].sort((a, b) =>
    needOf(input, b, counts) - needOf(input, a, counts)
  );
  for (const model of byNeed) {
    let best: Candidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const [domain, pool] of pools) {
      if (pool.length < model.size) continue;
      const ranked = [...pool].sort((a, b) =>
        loadCost(input, model, a) - loadCost(input, model, b)
      );
      const members = ranked.slice(0, model.size);
      const cost = Math.max(
        ...members.map((member) => loadCost(input, model, member)),
      );
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = {
        domain,
        formation: {
          service: input.service,
          model: model.name,
          members: members.map(({ id }) => id),
        },
      };
    }
    if (best !== undefined) return best;
  }
  return undefined;
}

/** Work for a model, against what its replicas can do. */
function needOf(
  input: FormationInput,
  model: ServedModel,
  counts: ReadonlyMap<string, number>,
): number {
  const replicas = counts.get(model.name) ?? 0;
  const work = input.demand(model.name) ?? model.workShare * model.pace;
  return work / (replicas + 0.5);
}

/** Time until an instance could serve a model. */
function loadCost(
  input: FormationInput,
  model: ServedModel,
  instance: InstanceState,
): number {
  if (input.hotModel(instance.id) === model.name) return 0;
  return instance.stagedModels.includes(model.name)
    ? model.warmMs
    : model.loadMs;
}

function groupByDomain(
  instances: readonly InstanceState[],
): Map<string, readonly InstanceState[]> {
  const pools = new Map<string, InstanceState[]>();
  for (const instance of instances) {
    const domain = instance.domain ?? "";
    const pool = pools.get(domain) ?? [];
    pool.push(instance);
    pools.set(domain, pool);
  }
  return pools;
}
