/** Where an instance stands in the replica that it belongs to. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** ReplicaMembership as an instance tells it. */
export interface ReplicaMembership {
  /** Name of the replica. */
  readonly replica: string;
  readonly epoch: number;
  /** 0 is the head, to which requests go. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** What an instance tells of itself. */
export interface InstanceState {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start of this incarnation, as Unix time; undefined where it isn't told. */
  readonly bornAtMs?: number;
  /** Fabric domain; undefined for plain services. */
  readonly domain?: string;
  /** Models whose weights lie on its host. */
  readonly stagedModels: readonly string[];
  /** Time for which it stayed cold when it said so; undefined if not told. */
  readonly coldRemainingMs?: number;
  /** Model whose weights it has in memory. */
  readonly loadedModel?: string;
  readonly membership?: ReplicaMembership;
}
