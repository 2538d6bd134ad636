import { groupBy } from "../collections/index.ts";
import {
  countReplicas,
  type Division,
  type DivisionRules,
  findBestDivision,
  type Formation,
  modelNeed,
  type ReplicaCounts,
} from "./divide_pool.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Input of `planFormations`. */
export interface FormationInput extends DivisionRules {
  /** Instances that are in no replica and can join one. */
  readonly free: readonly InstanceState[];
  /** Replicas of the service that serve or are being formed. */
  readonly replicas: readonly ReplicaRecord[];
  /** Whether no more instances are expected to arrive in a domain. */
  readonly isDomainComplete: (domain: string) => boolean;
}

/** How the free instances are to be used. */
export interface FormationPlan {
  readonly formations: readonly Formation[];
  /** Model to load before its replica is formed, by instance. */
  readonly preparations: ReadonlyMap<string, string>;
}

/**
 * Chooses the replicas to form from free instances, one fabric domain after
 * another. A replica with members that must load weights first is not formed
 * yet, so that its ready members stay available as spares meanwhile.
 */
export function planFormations(input: FormationInput): FormationPlan {
  const counts = countReplicas(input.models, input.replicas);
  const formations: Formation[] = [];
  const preparations = new Map<string, string>();
  const pools = groupBy(input.free, ({ domain }) => domain ?? "");
  while (true) {
    const next = findMostValuable(input, { counts, pools });
    if (next === undefined) return { formations, preparations };
    pools.delete(next.domain);
    for (const { formation, isPrepared } of next.division.formations) {
      if (input.precedesTraffic || isPrepared) formations.push(formation);
      else {
        for (const id of formation.members) {
          preparations.set(id, formation.model);
        }
      }
      counts.set(formation.model, (counts.get(formation.model) ?? 0) + 1);
    }
  }
}

interface PlanningState {
  readonly counts: ReplicaCounts;
  readonly pools: ReadonlyMap<string, readonly InstanceState[]>;
}

interface Candidate {
  readonly domain: string;
  readonly division: Division;
}

/** The domain whose division into replicas has the highest value. */
function findMostValuable(
  input: FormationInput,
  { counts, pools }: PlanningState,
): Candidate | undefined {
  let best: Candidate | undefined;
  const greatestNeed = Math.max(
    ...input.models.map((model) => modelNeed(input, model, counts)),
  );
  for (const [domain, pool] of pools) {
    const isDomainComplete = input.isDomainComplete(domain);
    if (input.precedesTraffic && !isDomainComplete) continue;
    // Instances that are yet to arrive may complete a replica needed more.
    const models = input.models.filter((model) =>
      isDomainComplete || modelNeed(input, model, counts) >= greatestNeed
    );
    const division = findBestDivision(input, {
      instances: pool,
      models,
      counts,
    });
    if (division === undefined) continue;
    if (division.value > (best?.division.value ?? 0)) {
      best = { domain, division };
    }
  }
  return best;
}
