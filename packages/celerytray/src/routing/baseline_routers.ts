import { mixHash } from "./hash_text.ts";
import { RandomSource } from "./random_source.ts";
import {
  estimateRequests,
  type ReplicaLoad,
  type Router,
  type RoutingRequest,
} from "./router.ts";

/** Chooses a random candidate. */
export class RandomRouter implements Router {
  readonly #random: RandomSource;

  constructor(options: { readonly seed: number }) {
    this.#random = new RandomSource(options.seed);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    return this.#random.draw(candidates, request.excludedIds);
  }
}

/** Chooses the candidates in rotation. */
export class RoundRobinRouter implements Router {
  #next: number;

  /** The seed determines the start of the rotation. */
  constructor(options: { readonly seed: number }) {
    this.#next = mixHash(options.seed);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const [first] = listInRotation(candidates, { start: this.#next, request });
    this.#next += first?.steps ?? candidates.length;
    return first?.candidate;
  }
}

/**
 * Chooses the candidate with the lowest reported load; scans all candidates.
 */
export class LeastReportedRouter implements Router {
  #next = 0;

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const start = this.#next++;
    let least: Candidate | undefined;
    for (
      const { candidate } of listInRotation(candidates, { start, request })
    ) {
      const isLess = least === undefined ||
        candidate.reportedRequests < least.reportedRequests;
      if (isLess) least = candidate;
    }
    return least;
  }
}

/** Draws two candidates and chooses the one with fewer estimated requests. */
export class PowerOfTwoRouter implements Router {
  readonly #random: RandomSource;

  constructor(options: { readonly seed: number }) {
    this.#random = new RandomSource(options.seed);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const first = this.#random.draw(candidates, request.excludedIds);
    const second = this.#random.draw(candidates, request.excludedIds);
    if (first === undefined || second === undefined) return first;
    return estimateRequests(second) < estimateRequests(first) ? second : first;
  }
}

interface RotationEntry<Candidate> {
  readonly candidate: Candidate;
  /** Number of steps from the start up to and including this candidate. */
  readonly steps: number;
}

/** Yields the candidates that are not excluded, once round from `start`. */
function* listInRotation<Candidate extends ReplicaLoad>(
  candidates: readonly Candidate[],
  { start, request }: {
    readonly start: number;
    readonly request: RoutingRequest;
  },
): Generator<RotationEntry<Candidate>> {
  for (let step = 0; step < candidates.length; step++) {
    const candidate = candidates[(start + step) % candidates.length]!;
    if (request.excludedIds?.has(candidate.replicaId)) continue;
    yield { candidate, steps: step + 1 };
  }
}
