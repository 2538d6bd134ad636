/** What is known of a replica when a request is routed. */
export interface ReplicaLoad {
  readonly replicaId: string;
  readonly availabilityZone: string;
  /** Requests running and waiting, as the engine last reported. */
  readonly reportedRequests: number;
  /** Of them, those waiting; undefined when the engine doesn't say. */
  readonly reportedWaiting?: number;
  /** When the engine made the report. */
  readonly reportedAtMs?: number;
  /** Requests this entry instance sent that the report can't contain yet. */
  readonly sentSinceReport: number;
  /** Adapters in memory; undefined when the engine doesn't say. */
  readonly loadedAdapters?: ReadonlySet<string>;
  /** Version of the model in memory; undefined when the engine doesn't say. */
  readonly modelVersion?: string;
}

/** What a request says of itself; the choice may depend on it. */
export interface RoutingCall {
  /** Zone of the entry instance that routes. */
  readonly availabilityZone: string;
  /** Replicas not to choose, for example those already tried. */
  readonly excludedIds?: ReadonlySet<string>;
  /** Cumulative hashes of the prompt's blocks, shortest prefix first. */
  readonly prefixHashes?: readonly number[];
  /** Time left until the first token is of no use. */
  readonly firstTokenDeadlineMs?: number;
  /** Higher goes first at the engine. */
  readonly priority?: number;
  readonly adapter?: string;
  readonly modelVersion?: string;
}

/** A call and the time at which it is routed. */
export interface RoutingRequest extends RoutingCall {
  readonly nowMs: number;
}

/** Chooses one of the replicas that may serve. */
export interface Router {
  /**
   * The chosen candidate, or undefined if there is none. Pass the same array
   * for as long as its members stay the same: what is derived from it is kept.
   */
  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined;
}

/** A router that knows the time. */
export interface CallRouter {
  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    call: RoutingCall,
  ): Candidate | undefined;
}

/** What became of a request that was routed to a replica. */
export interface RoutingOutcome {
  readonly service: string;
  readonly replicaId: string;
  readonly kind: "served" | "failed";
  /** Time to the first token, if there was one. */
  readonly firstTokenMs?: number;
  readonly nowMs: number;
}

/** Requests that a replica is believed to hold. */
export function estimateRequests(replica: ReplicaLoad): number {
  return replica.reportedRequests + replica.sentSinceReport;
}
