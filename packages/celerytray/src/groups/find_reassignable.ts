import {
  countReplicas,
  type DivisionRules,
  findBestDivision,
  worthOfReplica,
} from "./divide_pool.ts";
import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_run.ts";

/** What the choice of a replica to give up for others looks at. */
export interface ReassignableInput extends DivisionRules {
  /** Replicas of the service that serve or are to serve. */
  readonly runs: readonly ReplicaRun[];
  /** Instances that are in no replica and may be used. */
  readonly free: readonly InstanceState[];
  readonly findInstance: (id: string) => InstanceState | undefined;
}

/** A replica to give up. */
export interface Reassignable {
  readonly run: ReplicaRun;
  /** Models of the replicas that its members and free instances then form. */
  readonly models: readonly string[];
}

/** How many times the present worth the new replicas must have. */
const LEAST_GAIN = 1.3;

/**
 * The replica whose members, together with free instances of its domain, would
 * at once form replicas that are worth clearly more. A model that lacks
 * replicas so gets those that another can spare.
 */
export function findReassignable(
  input: ReassignableInput,
): Reassignable | undefined {
  const counts = countReplicas(
    input.models,
    input.runs.map(({ record }) => record),
  );
  let best: (Reassignable & { readonly gain: number }) | undefined;
  for (const run of input.runs) {
    const members = listMembers(input, run);
    const model = input.models.find(({ name }) => name === run.record.model);
    if (members === undefined || model === undefined) continue;
    const free = input.free.filter(({ domain }) =>
      domain === members[0]!.domain
    );
    const rest = new Map(counts).set(model.name, counts.get(model.name)! - 1);
    const { models } = input;
    const present = worthOfReplica(input, model, rest) +
      (findBestDivision(input, { instances: free, models, counts })?.worth ??
        0);
    const instances = [...free, ...members];
    const formations =
      findBestDivision(input, { instances, models, counts: rest })
        ?.formations.filter(({ isPrepared }) => isPrepared) ?? [];
    const worth = formations.reduce((sum, each) => sum + each.worth, 0);
    if (worth < LEAST_GAIN * present) continue;
    const gain = worth - present;
    if (best !== undefined && gain <= best.gain) continue;
    best = {
      run,
      models: formations.map(({ formation }) => formation.model),
      gain,
    };
  }
  return best;
}

/** Members of a replica that serves, none of them about to leave. */
function listMembers(
  { findInstance }: ReassignableInput,
  run: ReplicaRun,
): readonly InstanceState[] | undefined {
  const members = run.record.members.flatMap((id) => findInstance(id) ?? []);
  const isWhole = members.length === run.record.members.length &&
    !members.some(({ isDraining }) => isDraining);
  const isOpen = findMemberState(run, members[0]) === "open";
  return isWhole && isOpen ? members : undefined;
}
