import {
  countReplicas,
  type DivisionRules,
  findBestDivision,
  replicaValue,
} from "./divide_pool.ts";
import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_progress.ts";

/** Input of `findReassignable`. */
export interface ReassignableInput extends DivisionRules {
  /** Replicas of the service that serve or are being formed. */
  readonly runs: readonly ReplicaRun[];
  /** Instances that are in no replica and can join one. */
  readonly free: readonly InstanceState[];
  readonly findInstance: (id: string) => InstanceState | undefined;
}

/** A replica to retire in favour of others. */
export interface Reassignable {
  readonly run: ReplicaRun;
  /** Models of the replicas that its members and free instances can form. */
  readonly models: readonly string[];
}

/** Minimum ratio of the new replicas' value to the present value. */
const MIN_GAIN_RATIO = 1.3;

/**
 * Finds the replica whose members, together with free instances of its fabric
 * domain, can form replicas of a clearly higher value without loading weights.
 * This moves instances to a model that lacks replicas from one that can spare
 * them, and exchanges members between replicas.
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
    const present = replicaValue(input, model, rest) +
      (findBestDivision(input, { instances: free, models, counts })?.value ??
        0);
    const instances = [...free, ...members];
    const division = findBestDivision(input, {
      instances,
      models,
      counts: rest,
    });
    if (division === undefined) continue;
    const formations = division.formations.filter(({ isPrepared }) =>
      isPrepared
    );
    const value = formations.reduce((sum, each) => sum + each.value, 0);
    if (value < MIN_GAIN_RATIO * present) continue;
    const gain = value - present;
    if (best !== undefined && gain <= best.gain) continue;
    best = {
      run,
      models: formations.map(({ formation }) => formation.model),
      gain,
    };
  }
  return best;
}

/** Members of an open replica; undefined if one drains or is not listed. */
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
