import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRun, RunOrderInput } from "./replica_progress.ts";

/** Why a member counts as lost. */
export interface MemberLoss {
  readonly reason: string;
  /** Whether what runs at its head may still go on. */
  readonly mayWork: boolean;
}

/**
 * Finds why a member cannot work any more, if so. That it is silent is reason
 * enough for as long as the replica cannot have begun to serve.
 */
export function findLoss(
  input: RunOrderInput,
  id: string,
): MemberLoss | undefined {
  const { run, findInstance } = input;
  const liveness = input.liveness(id);
  if (liveness.kind === "lost") {
    return { reason: `${id} is lost`, mayWork: liveness.mayWork === true };
  }
  const instance = findInstance(id);
  // A draining instance refuses connections but still works for its head.
  const reason = liveness.kind === "silent" && !run.mayBeOpen
    ? `${id} is silent`
    : liveness.kind === "ended" && instance?.isDraining !== true
    ? `${id} has ended`
    : instance !== undefined && wasRestarted(run, instance)
    ? `${id} was started anew`
    : undefined;
  return reason === undefined ? undefined : { reason, mayWork: false };
}

/**
 * Whether the head is lost or was restarted. One that can't be open counts as
 * lost while it is silent. One that drains may refuse connections and still
 * work, until it leaves the list.
 */
export function isHeadLost(
  { run, findInstance, isListed, liveness }: RunOrderInput,
): boolean {
  const headId = run.record.members[0]!;
  const { kind } = liveness(headId);
  const head = findInstance(headId);
  const isDraining = head?.isDraining === true && isListed(headId);
  if (kind === "lost" || (kind === "ended" && !isDraining)) return true;
  if (kind === "silent" && !run.mayBeOpen) return true;
  return head !== undefined && wasRestarted(run, head);
}

/**
 * Whether an instance has restarted since the replica's record was stored. An
 * entry without the time of its start, as another writer may make, can't tell.
 */
function wasRestarted(run: ReplicaRun, instance: InstanceState): boolean {
  const bornAtMs = run.record.incarnations[instance.id]?.bornAtMs;
  return bornAtMs !== undefined && instance.bornAtMs !== undefined &&
    instance.bornAtMs !== bornAtMs;
}
