import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_progress.ts";

/** Input of `findReplaceable`. */
export interface ReplaceableInput {
  readonly runs: readonly ReplicaRun[];
  /** Instances that are in no replica and can join one. */
  readonly free: readonly InstanceState[];
  readonly findInstance: (id: string) => InstanceState | undefined;
  readonly isSlow: (instanceId: string) => boolean;
  /** Model whose weights an instance has in memory. */
  readonly heldModel: (instanceId: string) => string | undefined;
}

/** A replica to retire and to form again without its slow member. */
export interface ReplaceableReplica {
  readonly run: ReplicaRun;
  readonly slowId: string;
}

/**
 * Finds open replicas with slow members for which enough spares hold the
 * model's weights. Returns at most one in each fabric domain, and none in a
 * domain where another replica is not open.
 */
export function findReplaceable(
  input: ReplaceableInput,
): readonly ReplaceableReplica[] {
  const { runs, findInstance, isSlow } = input;
  const domainOf = (run: ReplicaRun) =>
    findInstance(run.record.members[0]!)?.domain ?? "";
  const isOpen = (run: ReplicaRun) =>
    run.retirement === undefined &&
    findMemberState(run, findInstance(run.record.members[0]!)) === "open";
  const busyDomains = new Set(
    runs.filter((run) => !isOpen(run)).map(domainOf),
  );
  const found: ReplaceableReplica[] = [];
  for (const run of runs) {
    const domain = domainOf(run);
    const slowIds = run.record.members.filter(isSlow);
    if (busyDomains.has(domain) || slowIds.length === 0) continue;
    if (countSpares(input, { run, domain }) < slowIds.length) continue;
    busyDomains.add(domain);
    found.push({ run, slowId: slowIds[0]! });
  }
  return found;
}

function countSpares(
  { free, heldModel }: ReplaceableInput,
  { run, domain }: { readonly run: ReplicaRun; readonly domain: string },
): number {
  const { model } = run.record;
  return free.filter((instance) =>
    instance.domain === domain &&
    (heldModel(instance.id) === model || instance.stagedModels.includes(model))
  ).length;
}
