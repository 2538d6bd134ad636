import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** What is known of a replica when a request is routed. */
export interface ReplicaLoad {
  readonly replicaId: string;
  readonly availabilityZone: string;
  /** Requests running and waiting, as the engine last reported. */
  readonly reportedRequests: number;
  /** Requests this entry instance sent it since that report. */
  readonly sentSinceReport: number;
}

/** What the choice may depend on. */
export interface RoutingRequest {
  readonly availabilityZone: string;
}

/** Chooses one of the replicas that may serve. */
export interface Router {
  /** The chosen candidate, or undefined if there is none. */
  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined;
}

/** Draws two candidates and takes the one with less load. */
export class PowerOfTwoRouter implements Router {
  readonly #random;

  constructor(options: { readonly seed: number }) {
    this.#random = xoroshiro128plus(options.seed);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    _request: RoutingRequest,
  ): Candidate | undefined {
    const first = this.#draw(candidates);
    const second = this.#draw(candidates);
    if (first === undefined || second === undefined) return first;
    return estimateLoad(second) < estimateLoad(first) ? second : first;
  }

  #draw<Candidate>(candidates: readonly Candidate[]): Candidate | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[uniformInt(this.#random, 0, candidates.length - 1)];
  }
}

function estimateLoad(replica: ReplicaLoad): number {
  return replica.reportedRequests + replica.sentSinceReport;
}
