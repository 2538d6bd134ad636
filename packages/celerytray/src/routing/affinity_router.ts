import {
  OutlierEjector,
  type OutlierEjectorOptions,
} from "./outlier_ejector.ts";
import {
  type CacheEvent,
  PrefixIndex,
  type PrefixIndexOptions,
  type PrefixTrust,
} from "./prefix_index.ts";
import { RandomSource } from "./random_source.ts";
import { ReplicaRing } from "./replica_ring.ts";
import {
  estimateRequests,
  type ReplicaLoad,
  type Router,
  type RoutingOutcome,
  type RoutingRequest,
} from "./router.ts";

/** Options of the router. */
export interface AffinityRouterOptions {
  readonly seed: number;
  readonly index?: PrefixIndexOptions;
  readonly ejection?: OutlierEjectorOptions;
  /** Expected wait that one request at a replica stands for. */
  readonly waitMsPerRequest?: number;
  /** Time to compute one block of a prompt that is not cached. */
  readonly prefillMsPerBlock?: number;
  /** Added for a replica of another zone, there and back. */
  readonly zoneDistanceMs?: number;
  /** Added for a replica that must load the adapter first. */
  readonly adapterLoadMs?: number;
}

interface Scored<Candidate> {
  readonly candidate: Candidate;
  readonly costMs: number;
}

interface ScoringContext {
  readonly request: RoutingRequest;
  readonly service: string;
  readonly holders: ReadonlyMap<string, number>;
}

const DEFAULTS = {
  waitMsPerRequest: 12,
  prefillMsPerBlock: 10,
  zoneDistanceMs: 3,
  adapterLoadMs: 200,
};
const SAMPLE_SIZE = 3;
const HOME_COUNT = 2;
const TRUST_SHARE: Record<PrefixTrust, number> = {
  confirmed: 1,
  expected: 0.9,
  doubtful: 0.5,
};

/**
 * Weighs the time a cached prefix saves against the wait at the replica that
 * holds it, over a bounded sample: known holders, the prefix's homes on a
 * hash ring and a few drawn at random.
 */
export class AffinityRouter implements Router {
  readonly #options;
  readonly #random: RandomSource;
  readonly #index: PrefixIndex;
  readonly #ejector: OutlierEjector;
  readonly #rings = new WeakMap<
    readonly ReplicaLoad[],
    ReplicaRing<ReplicaLoad>
  >();

  constructor(options: AffinityRouterOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.#random = new RandomSource(options.seed);
    this.#index = new PrefixIndex(options.index);
    this.#ejector = new OutlierEjector(options.ejection);
  }

  choose<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    request: RoutingRequest,
  ): Candidate | undefined {
    const first = candidates[0];
    if (first === undefined) return undefined;
    const service = findService(first.replicaId);
    this.#ejector.setSize(service, candidates.length);
    const holders = this.#findHolders(request);
    const sample = this.#sample(candidates, { request, holders });
    const chosen = this.#chooseBest(sample, { request, service, holders }) ??
      this.#findAny(candidates, { request, service });
    if (chosen !== undefined && request.prefixHashes !== undefined) {
      this.#index.noteSent(chosen.replicaId, {
        prefixHashes: request.prefixHashes,
        nowMs: request.nowMs,
      });
    }
    return chosen;
  }

  /** Learns what became of a request that was routed. */
  noteOutcome(outcome: RoutingOutcome): void {
    this.#ejector.noteOutcome(outcome);
  }

  /** Learns what an engine published of its prefix cache. */
  noteCacheEvent(event: CacheEvent): void {
    this.#index.noteEvent(event);
  }

  /** Blocks likely cached by replica; doubt counts as fewer blocks. */
  #findHolders(request: RoutingRequest): Map<string, number> {
    const found = this.#index.findHolders(
      request.prefixHashes ?? [],
      request.nowMs,
    );
    return new Map(
      found.map((
        { replicaId, blockCount, trust },
      ) => [replicaId, blockCount * TRUST_SHARE[trust]]),
    );
  }

  #sample<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    from: {
      readonly request: RoutingRequest;
      readonly holders: ReadonlyMap<string, number>;
    },
  ): Candidate[] {
    const { request, holders } = from;
    const ring = this.#findRing(candidates);
    const sample = new Set<Candidate>();
    for (const replicaId of holders.keys()) {
      const holder = ring.find(replicaId);
      if (holder !== undefined) sample.add(holder);
    }
    const firstHash = request.prefixHashes?.[0];
    if (firstHash !== undefined) {
      for (const home of ring.findHomes(firstHash, HOME_COUNT)) {
        sample.add(home);
      }
    }
    for (let drawn = 0; drawn < SAMPLE_SIZE; drawn++) {
      const candidate = this.#random.draw(candidates, request.excludedIds);
      if (candidate !== undefined) sample.add(candidate);
    }
    return [...sample].filter((candidate) => isEligible(candidate, request));
  }

  /** The cheapest of those not ejected. */
  #chooseBest<Candidate extends ReplicaLoad>(
    sample: readonly Candidate[],
    context: ScoringContext,
  ): Candidate | undefined {
    let best: Scored<Candidate> | undefined;
    for (const candidate of sample) {
      const costMs = this.#estimateCost(candidate, context);
      if (costMs === undefined) continue;
      if (best === undefined || costMs < best.costMs) {
        best = { candidate, costMs };
      }
    }
    return best?.candidate;
  }

  /** A candidate outside the sample, ejected only if all others are. */
  #findAny<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
    context: Pick<ScoringContext, "request" | "service">,
  ): Candidate | undefined {
    const { request, service } = context;
    const eligible = candidates.filter((candidate) =>
      isEligible(candidate, request)
    );
    const at = { service, nowMs: request.nowMs };
    const accepted = eligible.filter(({ replicaId }) =>
      this.#ejector.shareOf(replicaId, at) > 0
    );
    return this.#random.draw(accepted.length > 0 ? accepted : eligible);
  }

  /** Undefined for an ejected replica. */
  #estimateCost(
    candidate: ReplicaLoad,
    context: ScoringContext,
  ): number | undefined {
    const { request, service, holders } = context;
    const { waitMsPerRequest, prefillMsPerBlock } = this.#options;
    const { replicaId } = candidate;
    const share = this.#ejector.shareOf(replicaId, {
      service,
      nowMs: request.nowMs,
    });
    if (share === 0) return undefined;
    const requests = (estimateRequests(candidate) + 1) / share;
    const cachedBlocks = holders.get(replicaId) ?? 0;
    const promptBlocks = request.prefixHashes?.length ?? 0;
    return requests * waitMsPerRequest +
      (promptBlocks - cachedBlocks) * prefillMsPerBlock +
      this.#estimateExtra(candidate, request);
  }

  #estimateExtra(candidate: ReplicaLoad, request: RoutingRequest): number {
    const { zoneDistanceMs, adapterLoadMs } = this.#options;
    const isNear = candidate.availabilityZone === request.availabilityZone;
    const { adapter } = request;
    const mustLoad = adapter !== undefined &&
      candidate.loadedAdapters?.has(adapter) === false;
    return (isNear ? 0 : zoneDistanceMs) + (mustLoad ? adapterLoadMs : 0);
  }

  #findRing<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
  ): ReplicaRing<Candidate> {
    let ring = this.#rings.get(candidates);
    if (ring === undefined) {
      ring = new ReplicaRing<ReplicaLoad>(candidates);
      this.#rings.set(candidates, ring);
    }
    return ring as ReplicaRing<Candidate>;
  }
}

function isEligible(
  candidate: ReplicaLoad,
  request: RoutingRequest,
): boolean {
  if (request.excludedIds?.has(candidate.replicaId) === true) return false;
  const { modelVersion } = request;
  return modelVersion === undefined || candidate.modelVersion === undefined ||
    candidate.modelVersion === modelVersion;
}

/** Replica identifiers have the form SERVICE/SLOT. */
function findService(replicaId: string): string {
  return replicaId.slice(0, Math.max(0, replicaId.lastIndexOf("/")));
}
