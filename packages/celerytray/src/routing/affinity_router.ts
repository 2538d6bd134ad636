import { mixHash } from "./hash_text.ts";
import {
  OutlierEjector,
  type OutlierEjectorOptions,
} from "./outlier_ejector.ts";
import {
  type CacheEvent,
  type PrefixHolder,
  PrefixIndex,
  type PrefixIndexOptions,
  type PrefixTrust,
} from "./prefix_index.ts";
import { RandomSource } from "./random_source.ts";
import { ReplicaRotation } from "./replica_rotation.ts";
import { ReplicaRing } from "./replica_ring.ts";
import {
  type ReplicaLoad,
  type Router,
  type RoutingOutcome,
  type RoutingRequest,
} from "./router.ts";
import { WorkBacklog } from "./work_backlog.ts";

/** Options of an affinity router. */
export interface AffinityRouterOptions {
  readonly seed: number;
  readonly index?: PrefixIndexOptions;
  readonly ejection?: OutlierEjectorOptions;
  /** Number of entry instances that share the replicas. */
  readonly entryCount?: () => number;
  /** Time to compute one block of a prompt that is not cached. */
  readonly prefillMsPerBlock?: number;
  /** Cost added for a replica in another zone: the network round trip. */
  readonly crossZoneMs?: number;
  /** Cost added for a replica that must first load the adapter. */
  readonly adapterLoadMs?: number;
}

const WORK_SMOOTHING = 0.01;
/** Data derived from one list of candidates. */
interface CandidatePool<Candidate extends ReplicaLoad> {
  readonly ring: ReplicaRing<Candidate>;
  readonly rotation: ReplicaRotation<Candidate>;
}

interface SampledCandidate<Candidate> {
  readonly candidate: Candidate;
  /** Added to the estimated cost. */
  readonly penaltyMs: number;
}

interface ScoredCandidate<Candidate> {
  readonly candidate: Candidate;
  readonly costMs: number;
}

interface ScoringContext {
  readonly request: RoutingRequest;
  readonly service: string;
  readonly holders: ReadonlyMap<string, PrefixHolder>;
}

interface WorkContext extends ScoringContext {
  readonly trustShare?: Record<PrefixTrust, number>;
}

const DEFAULTS = {
  entryCount: () => 1,
  prefillMsPerBlock: 10,
  crossZoneMs: 3,
  adapterLoadMs: 200,
};
const ROTATION_WINDOW = 3;
/**
 * Cost added to replicas that are not next in the rotation: the least saving
 * for which one is chosen out of turn.
 */
const OUT_OF_TURN_PENALTY_MS = 10;
const OWNER_COUNT = 2;
const TRUST_SHARE: Record<PrefixTrust, number> = {
  confirmed: 1,
  expected: 0.9,
  doubtful: 0.5,
};
/**
 * Share of a cached prefix that is relied on if a miss would break the
 * deadline.
 */
const CONSERVATIVE_SHARE: Record<PrefixTrust, number> = {
  confirmed: 1,
  expected: 0.9,
  doubtful: 0,
};

/**
 * Chooses the replica with the lowest estimated cost: the wait at the replica
 * plus the time to compute the part of the prompt that it has not cached.
 * Considers a bounded sample: known holders of the prefix, the prefix's owners
 * on a hash ring and the next few replicas of a rotation.
 */
export class AffinityRouter implements Router {
  readonly #options;
  readonly #random: RandomSource;
  readonly #index: PrefixIndex;
  readonly #ejector: OutlierEjector;
  readonly #backlog: WorkBacklog;
  #meanWorkMs = 0;
  readonly #pools = new WeakMap<
    readonly ReplicaLoad[],
    CandidatePool<ReplicaLoad>
  >();

  constructor(options: AffinityRouterOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.#random = new RandomSource(options.seed);
    this.#index = new PrefixIndex(options.index);
    this.#ejector = new OutlierEjector(options.ejection);
    this.#backlog = new WorkBacklog(this.#options);
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
    const pool = this.#getPool(candidates);
    const sample = this.#sample(pool, { request, holders });
    const context = { request, service, holders };
    const chosen = this.#chooseBest(sample, context) ??
      this.#drawFallback(candidates, context);
    if (chosen !== undefined) this.#recordChoice(chosen, { ...context, pool });
    return chosen;
  }

  /** Records the outcome of a routed request. */
  noteOutcome(outcome: RoutingOutcome): void {
    this.#ejector.noteOutcome(outcome);
  }

  /** Records a prefix cache event of an engine. */
  noteCacheEvent(event: CacheEvent): void {
    this.#index.noteEvent(event);
  }

  #findHolders(request: RoutingRequest): Map<string, PrefixHolder> {
    const { prefixHashes = [], nowMs } = request;
    const found = this.#index.findHolders(prefixHashes, nowMs);
    return new Map(found.map((holder) => [holder.replicaId, holder]));
  }

  #recordChoice(
    chosen: ReplicaLoad,
    context: ScoringContext & { readonly pool: CandidatePool<ReplicaLoad> },
  ): void {
    const { request, pool } = context;
    const { nowMs, prefixHashes } = request;
    const { replicaId } = chosen;
    const workMs = this.#estimateWork(replicaId, context);
    this.#backlog.add(replicaId, { workMs, nowMs });
    this.#meanWorkMs += (workMs - this.#meanWorkMs) * WORK_SMOOTHING;
    pool.rotation.take(chosen, ROTATION_WINDOW);
    if (prefixHashes === undefined) return;
    this.#index.noteSent(replicaId, { prefixHashes, nowMs });
  }

  #sample<Candidate extends ReplicaLoad>(
    pool: CandidatePool<Candidate>,
    from: {
      readonly request: RoutingRequest;
      readonly holders: ReadonlyMap<string, PrefixHolder>;
    },
  ): SampledCandidate<Candidate>[] {
    const { request, holders } = from;
    const { ring, rotation } = pool;
    const sample = rotation.peek(ROTATION_WINDOW).map((candidate, step) => ({
      candidate,
      penaltyMs: step === 0 ? 0 : OUT_OF_TURN_PENALTY_MS,
    }));
    const add = (candidate: Candidate | undefined) => {
      if (candidate !== undefined) sample.push({ candidate, penaltyMs: 0 });
    };
    for (const replicaId of holders.keys()) add(ring.find(replicaId));
    const firstHash = request.prefixHashes?.[0];
    if (firstHash !== undefined && holders.size > 0) {
      ring.findOwners(firstHash, OWNER_COUNT).forEach(add);
    }
    return sample.filter(({ candidate }) => isEligible(candidate, request));
  }

  /**
   * Returns the candidate of the sample with the lowest cost; skips ejected
   * replicas.
   */
  #chooseBest<Candidate extends ReplicaLoad>(
    sample: readonly SampledCandidate<Candidate>[],
    context: ScoringContext,
  ): Candidate | undefined {
    let best: ScoredCandidate<Candidate> | undefined;
    for (const { candidate, penaltyMs } of sample) {
      const estimateMs = this.#estimateCost(candidate, context);
      if (estimateMs === undefined) continue;
      const costMs = estimateMs + penaltyMs;
      if (best === undefined || costMs < best.costMs) {
        best = { candidate, costMs };
      }
    }
    return best?.candidate;
  }

  /** Draws any eligible candidate, an ejected one only if all are ejected. */
  #drawFallback<Candidate extends ReplicaLoad>(
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

  /** Returns undefined for an ejected replica. */
  #estimateCost(
    candidate: ReplicaLoad,
    context: ScoringContext,
  ): number | undefined {
    const { request, service } = context;
    const { nowMs } = request;
    const { replicaId } = candidate;
    const share = this.#ejector.shareOf(replicaId, { service, nowMs });
    if (share === 0) return undefined;
    const waitMs = this.#estimateWait(candidate, request);
    const likelyMs = waitMs + this.#estimateWork(replicaId, context);
    const conservativeMs = waitMs +
      this.#estimateWork(replicaId, {
        ...context,
        trustShare: CONSERVATIVE_SHARE,
      });
    const deadlineMs = request.firstTokenDeadlineMs ?? Infinity;
    const isRisky = likelyMs <= deadlineMs && conservativeMs > deadlineMs;
    const costMs = isRisky ? conservativeMs : likelyMs;
    return costMs / share + this.#estimateOverhead(candidate, request);
  }

  /**
   * Scales the wait down for higher priorities, which fewer requests precede.
   */
  #estimateWait(candidate: ReplicaLoad, request: RoutingRequest): number {
    const { nowMs, priority = 0 } = request;
    const queuedMs = this.#backlog.workMs(candidate.replicaId, nowMs) +
      this.#estimateReportedWait(candidate, nowMs);
    return queuedMs / (1 + Math.max(0, priority));
  }

  /**
   * Estimates the rest of the reported queue, which has drained since the
   * report.
   */
  #estimateReportedWait(candidate: ReplicaLoad, nowMs: number): number {
    const { reportedWaiting = 0, reportedAtMs = nowMs } = candidate;
    const ageMs = Math.max(0, nowMs - reportedAtMs);
    return Math.max(0, reportedWaiting * this.#meanWorkMs - ageMs);
  }

  /** Time to compute the part of the prompt that is not cached. */
  #estimateWork(replicaId: string, context: WorkContext): number {
    const { request, holders, trustShare = TRUST_SHARE } = context;
    const holder = holders.get(replicaId);
    const cachedBlocks = holder === undefined
      ? 0
      : holder.blockCount * trustShare[holder.trust];
    const promptBlocks = request.prefixHashes?.length ?? 0;
    const blocks = Math.max(1, promptBlocks - cachedBlocks);
    return blocks * this.#options.prefillMsPerBlock;
  }

  #estimateOverhead(candidate: ReplicaLoad, request: RoutingRequest): number {
    const { crossZoneMs, adapterLoadMs } = this.#options;
    const isSameZone = candidate.availabilityZone === request.availabilityZone;
    const { adapter } = request;
    const mustLoad = adapter !== undefined &&
      candidate.loadedAdapters?.has(adapter) === false;
    return (isSameZone ? 0 : crossZoneMs) + (mustLoad ? adapterLoadMs : 0);
  }

  #getPool<Candidate extends ReplicaLoad>(
    candidates: readonly Candidate[],
  ): CandidatePool<Candidate> {
    let pool = this.#pools.get(candidates);
    if (pool === undefined) {
      pool = {
        ring: new ReplicaRing<ReplicaLoad>(candidates),
        rotation: new ReplicaRotation<ReplicaLoad>(candidates, {
          start: mixHash(this.#options.seed),
        }),
      };
      this.#pools.set(candidates, pool);
    }
    return pool as CandidatePool<Candidate>;
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
