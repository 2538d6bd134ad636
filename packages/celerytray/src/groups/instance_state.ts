/** State of an instance in the replica that it belongs to. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** Membership in a replica, as the instance reports it. */
export interface ReplicaMembership {
  /** Name of the replica. */
  readonly replica: string;
  readonly epoch: number;
  /** Position in the replica; 0 is the head, which takes the requests. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** State of an instance, as it reports it. */
export interface InstanceState {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the instance can process at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start of this incarnation, Unix time; undefined if not reported. */
  readonly bornAtMs?: number;
  /**
   * Number of orders that this incarnation has accepted; undefined if not
   * reported. Other changes of its state don't raise it.
   */
  readonly sequence?: number;
  /** Fabric domain; undefined for services without model replicas. */
  readonly domain?: string;
  /** Models whose weights are staged on its host. */
  readonly stagedModels: readonly string[];
  /** Remaining cold time at its last report; undefined if not reported. */
  readonly coldRemainingMs?: number;
  /** Model whose weights it has in memory. */
  readonly loadedModel?: string;
  readonly membership?: ReplicaMembership;
}

/**
 * Whether a state of an instance is certainly newer than another one: it is of a
 * later incarnation, or orders came between. Without an order, as when an
 * instance drains, the count stays.
 */
export function isCertainlyNewer(
  state: InstanceState,
  other: InstanceState,
): boolean {
  const [bornAtMs, otherBornAtMs] = [state.bornAtMs ?? 0, other.bornAtMs ?? 0];
  if (bornAtMs !== otherBornAtMs) return bornAtMs > otherBornAtMs;
  return (state.sequence ?? 0) > (other.sequence ?? 0);
}
