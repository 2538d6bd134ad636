/** Known state of a replica when a request is routed. */
export interface ReplicaLoad {
  readonly replicaId: string;
  readonly availabilityZone: string;
  /** Requests running and waiting, as the engine last reported. */
  readonly reportedRequests: number;
  /**
   * Waiting requests among them; undefined if the engine doesn't report them.
   */
  readonly reportedWaiting?: number;
  /** Time at which the engine made the report. */
  readonly reportedAtMs?: number;
  /** Requests sent by this entry instance that the report can't contain yet. */
  readonly sentSinceReport: number;
  /** Adapters in memory; undefined if the engine doesn't report them. */
  readonly loadedAdapters?: ReadonlySet<string>;
  /**
   * Version of the model in memory; undefined if the engine doesn't report it.
   */
  readonly modelVersion?: string;
}

/** Properties of a request that routing may depend on. */
export interface RoutingCall {
  /** Zone of the routing entry instance. */
  readonly availabilityZone: string;
  /** Replicas that must not be chosen, for example those already tried. */
  readonly excludedIds?: ReadonlySet<string>;
  /** Cumulative hashes of the prompt's blocks, shortest prefix first. */
  readonly prefixHashes?: readonly number[];
  /** Time left in which the first token is of use. */
  readonly firstTokenDeadlineMs?: number;
  /** The engine serves higher priorities first. */
  readonly priority?: number;
  readonly adapter?: string;
  readonly modelVersion?: string;
}

/** A call with the time at which it is routed. */
export interface RoutingRequest extends RoutingCall {
  readonly nowMs: number;
}

/** Chooses one of the eligible replicas. */
export interface Router {
  /**
   * Returns the chosen candidate, or undefined if there is none. Pass the same
   * array while its members are the same, as derived data is cached by array.
   */
  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined;
}

/** A router that reads the clock itself. */
export interface CallRouter {
  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    call: RoutingCall,
  ): Candidate | undefined;
}

/** Outcome of a routed request. */
export interface RoutingOutcome {
  readonly service: string;
  readonly replicaId: string;
  readonly kind: "served" | "failed";
  /** Time to the first token, if there was one. */
  readonly firstTokenMs?: number;
  readonly nowMs: number;
}

/** Estimates the number of requests at a replica. */
export function estimateRequests(replica: ReplicaLoad): number {
  return replica.reportedRequests + replica.sentSinceReport;
}
