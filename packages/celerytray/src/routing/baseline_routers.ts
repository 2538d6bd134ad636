import { mixHash } from "./hash_text.ts";
import { RandomSource } from "./random_source.ts";
import {
  estimateRequests,
  type ReplicaLoad,
  type Router,
  type RoutingRequest,
} from "./router.ts";

/** Draws any candidate. */
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

/** Takes the candidates in turn. */
export class RoundRobinRouter implements Router {
  #next: number;

  /** The seed says where the turns begin. */
  constructor(options: { readonly seed: number }) {
    this.#next = mixHash(options.seed);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const [first] = listInTurn(candidates, { start: this.#next, request });
    this.#next += first?.steps ?? candidates.length;
    return first?.candidate;
  }
}

/** Takes the candidate with the least reported load; scans all of them. */
export class LeastReportedRouter implements Router {
  #next = 0;

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const start = this.#next++;
    let least: Candidate | undefined;
    for (const { candidate } of listInTurn(candidates, { start, request })) {
      const isLess = least === undefined ||
        candidate.reportedRequests < least.reportedRequests;
      if (isLess) least = candidate;
    }
    return least;
  }
}

/** Draws two candidates and takes the one with less load. */
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

interface Turn<Candidate> {
  readonly candidate: Candidate;
  /** Steps from the start until after it. */
  readonly steps: number;
}

/** Candidates that are not excluded, from a place on and round. */
function* listInTurn<Candidate extends ReplicaLoad>(
  candidates: readonly Candidate[],
  { start, request }: {
    readonly start: number;
    readonly request: RoutingRequest;
  },
): Generator<Turn<Candidate>> {
  for (let step = 0; step < candidates.length; step++) {
    const candidate = candidates[(start + step) % candidates.length]!;
    if (request.excludedIds?.has(candidate.replicaId)) continue;
    yield { candidate, steps: step + 1 };
  }
}
