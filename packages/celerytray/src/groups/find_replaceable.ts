import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_run.ts";

/** What the choice of slow replicas to form anew looks at. */
export interface ReplaceableInput {
  readonly runs: readonly ReplicaRun[];
  /** Instances that are in no replica and may be used. */
  readonly free: readonly InstanceState[];
  readonly findInstance: (id: string) => InstanceState | undefined;
  readonly isSlow: (instanceId: string) => boolean;
  /** Model whose weights an instance has in memory. */
  readonly hotModel: (instanceId: string) => string | undefined;
}

/** A replica to form anew without a slow member. */
export interface ReplaceableReplica {
  readonly run: ReplicaRun;
  readonly slowId: string;
}

/**
 * Open replicas with slow members for which spares with the model's weights
 * stand by, at most one in each domain, and none where others are formed.
 */
export function findReplaceable(
  input: ReplaceableInput,
): readonly ReplaceableReplica[] {
  const { runs, findInstance, isSlow } = input;
  const domainOf = (run: ReplicaRun) =>
    findInstance(run.record.members[0]!)?.domain ?? "";
  const isOpen = (run: ReplicaRun) =>
    run.retiring === undefined &&
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
  { free, hotModel }: ReplaceableInput,
  { run, domain }: { readonly run: ReplicaRun; readonly domain: string },
): number {
  const { model } = run.record;
  return free.filter((instance) =>
    instance.domain === domain &&
    (hotModel(instance.id) === model || instance.stagedModels.includes(model))
  ).length;
}
