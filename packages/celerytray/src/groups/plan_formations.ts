import { groupBy } from "../collections/index.ts";
import {
  countReplicas,
  type Division,
  type DivisionRules,
  findBestDivision,
  type Formation,
  needOf,
  type ReplicaCounts,
} from "./divide_pool.ts";
import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** What the choice of new replicas looks at. */
export interface FormationInput extends DivisionRules {
  /** Instances that are in no replica and may be used. */
  readonly free: readonly InstanceState[];
  /** Replicas of the service that serve or are to serve. */
  readonly replicas: readonly ReplicaRecord[];
  /** Whether no more instances are about to arrive in a domain. */
  readonly isFilled: (domain: string) => boolean;
}

/** What is to become of the free instances. */
export interface FormationPlan {
  readonly formations: readonly Formation[];
  /** Models that free instances are to load first, by instance. */
  readonly preparations: ReadonlyMap<string, string>;
}

/**
 * Picks the replicas to form of the free instances, domain by domain. Where
 * members of one must load first, it is not formed yet, so that those which are
 * ready stay spares meanwhile.
 */
export function planFormations(input: FormationInput): FormationPlan {
  const counts = countReplicas(input.models, input.replicas);
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
  readonly counts: ReplicaCounts;
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
    const division = findBestDivision(input, {
      instances: pool,
      models,
      counts,
    });
    if (division === undefined) continue;
    if (division.worth > (best?.division.worth ?? 0)) {
      best = { domain, division };
    }
  }
  return best;
}
