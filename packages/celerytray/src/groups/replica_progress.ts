import type { InstanceState, MembershipState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** A replica with its progress, as far as the leader knows it. */
export interface ReplicaRun {
  readonly record: ReplicaRecord;
  /** Members that accepted the join order or are listed in this replica. */
  readonly joinedIds: Set<string>;
  /** Members that were listed as ready in this replica. */
  readonly readyIds: Set<string>;
  /** Members that have left the replica. */
  readonly leftIds: Set<string>;
  /** Whether the head may have received an open order. */
  mayBeOpen: boolean;
  /** Time at which a member other than the head was first seen draining. */
  drainingSinceMs?: number;
  /** Progress of the retirement; undefined while the replica is to serve. */
  retirement?: Retirement;
}

/** Retirement of a replica: its head closes and leaves. */
export interface Retirement {
  readonly reason: string;
  readonly sinceMs: number;
  /** Whether it ends if the lost member answers while the head still closes. */
  readonly isRevocable: boolean;
  /** Whether requests in progress are cut off, as they cannot finish. */
  isImmediate: boolean;
  /** Whether the head answered that it has begun to close. */
  hasBegunClosing: boolean;
  isClosed: boolean;
  /** Whether the head has left, so that the replica is surely not open. */
  hasHeadLeft: boolean;
  /** Whether no further orders are needed. */
  isComplete: boolean;
}

/** Liveness of an instance according to probes and orders. */
export type Liveness =
  | { readonly kind: "alive" }
  /** It does not answer now, which a sound one may do for a second or so. */
  | { readonly kind: "silent" }
  /** It has not answered for longer than that. */
  | {
    readonly kind: "lost";
    /** Whether it may still work, as it has only accepted no connection. */
    readonly mayWork?: boolean;
  }
  /** Its process has ended: the address refuses connections. */
  | { readonly kind: "ended" };

/** Input of `planRunOrders`. */
export interface RunOrderInput {
  readonly run: ReplicaRun;
  /** Last known state of an instance. */
  readonly findInstance: (id: string) => InstanceState | undefined;
  /** Whether the instance list contains the instance now. */
  readonly isListed: (id: string) => boolean;
  readonly liveness: (id: string) => Liveness;
  /** Minimum time for which a draining instance keeps working. */
  readonly drainMs: number;
  /** Longest time for which a request at the head may run. */
  readonly longestCallMs: number;
  readonly nowMs: number;
}

/** State of a member in its replica; undefined if it is not listed in it. */
export function findMemberState(
  run: ReplicaRun,
  instance: InstanceState | undefined,
): MembershipState | undefined {
  const membership = instance?.membership;
  const isSame = membership !== undefined &&
    membership.replica === run.record.name &&
    membership.epoch === run.record.epoch;
  return isSame ? membership.state : undefined;
}
