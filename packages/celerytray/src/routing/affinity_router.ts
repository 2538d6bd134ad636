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

/** Options of the router. */
export interface AffinityRouterOptions {
  readonly seed: number;
  readonly index?: PrefixIndexOptions;
  readonly ejection?: OutlierEjectorOptions;
  /** Entry instances that share the replicas. */
  readonly entryCount?: () => number;
  /** Time to compute one block of a prompt that is not cached. */
  readonly prefillMsPerBlock?: number;
  /** Added for a replica of another zone, there and back. */
  readonly zoneDistanceMs?: number;
  /** Added for a replica that must load the adapter first. */
  readonly adapterLoadMs?: number;
}

const WORK_SMOOTHING = 0.01;
/** What is derived from one list of candidates. */
interface CandidatePool<Candidate extends ReplicaLoad> {
  readonly ring: ReplicaRing<Candidate>;
  readonly rotation: ReplicaRotation<Candidate>;
}

interface Sampled<Candidate> {
  readonly candidate: Candidate;
  /** Added to the estimated cost. */
  readonly handicapMs: number;
}

interface Scored<Candidate> {
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
  zoneDistanceMs: 3,
  adapterLoadMs: 200,
};
const TURN_WINDOW = 3;
/** Saving for which a replica is taken before its turn. */
const TURN_MARGIN_MS = 10;
const HOME_COUNT = 2;
const TRUST_SHARE: Record<PrefixTrust, number> = {
  confirmed: 1,
  expected: 0.9,
  doubtful: 0.5,
};
/** What is counted on where a miss would break the deadline. */
const SAFE_SHARE: Record<PrefixTrust, number> = {
  confirmed: 1,
  expected: 0.9,
  doubtful: 0,
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
    const pool = this.#findPool(candidates);
    const sample = this.#sample(pool, { request, holders });
    const context = { request, service, holders };
    const chosen = this.#chooseBest(sample, context) ??
      this.#findAny(candidates, context);
    if (chosen !== undefined) this.#noteChosen(chosen, { ...context, pool });
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

  #findHolders(request: RoutingRequest): Map<string, PrefixHolder> {
    const { prefixHashes = [], nowMs } = request;
    const found = this.#index.findHolders(prefixHashes, nowMs);
    return new Map(found.map((holder) => [holder.replicaId, holder]));
  }

  #noteChosen(
    chosen: ReplicaLoad,
    context: ScoringContext & { readonly pool: CandidatePool<ReplicaLoad> },
  ): void {
    const { request, pool } = context;
    const { nowMs, prefixHashes } = request;
    const { replicaId } = chosen;
    const workMs = this.#estimateWork(replicaId, context);
    this.#backlog.add(replicaId, { workMs, nowMs });
    this.#meanWorkMs += (workMs - this.#meanWorkMs) * WORK_SMOOTHING;
    pool.rotation.take(chosen, TURN_WINDOW);
    if (prefixHashes === undefined) return;
    this.#index.noteSent(replicaId, { prefixHashes, nowMs });
  }

  #sample<Candidate extends ReplicaLoad>(
    pool: CandidatePool<Candidate>,
    from: {
      readonly request: RoutingRequest;
      readonly holders: ReadonlyMap<string, PrefixHolder>;
    },
  ): Sampled<Candidate>[] {
    const { request, holders } = from;
    const { ring, rotation } = pool;
    const sample = rotation.peek(TURN_WINDOW).map((candidate, step) => ({
      candidate,
      handicapMs: step === 0 ? 0 : TURN_MARGIN_MS,
    }));
    const add = (candidate: Candidate | undefined) => {
      if (candidate !== undefined) sample.push({ candidate, handicapMs: 0 });
    };
    for (const replicaId of holders.keys()) add(ring.find(replicaId));
    const firstHash = request.prefixHashes?.[0];
    if (firstHash !== undefined && holders.size > 0) {
      ring.findHomes(firstHash, HOME_COUNT).forEach(add);
    }
    return sample.filter(({ candidate }) => isEligible(candidate, request));
  }

  /** The cheapest of those not ejected. */
  #chooseBest<Candidate extends ReplicaLoad>(
    sample: readonly Sampled<Candidate>[],
    context: ScoringContext,
  ): Candidate | undefined {
    let best: Scored<Candidate> | undefined;
    for (const { candidate, handicapMs } of sample) {
      const estimateMs = this.#estimateCost(candidate, context);
      if (estimateMs === undefined) continue;
      const costMs = estimateMs + handicapMs;
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
    const { request, service } = context;
    const { nowMs } = request;
    const { replicaId } = candidate;
    const share = this.#ejector.shareOf(replicaId, { service, nowMs });
    if (share === 0) return undefined;
    const waitMs = this.#estimateWait(candidate, request);
    const likelyMs = waitMs + this.#estimateWork(replicaId, context);
    const safeMs = waitMs +
      this.#estimateWork(replicaId, { ...context, trustShare: SAFE_SHARE });
    const deadlineMs = request.firstTokenDeadlineMs ?? Infinity;
    const isRisky = likelyMs <= deadlineMs && safeMs > deadlineMs;
    const costMs = isRisky ? safeMs : likelyMs;
    return costMs / share + this.#estimateExtra(candidate, request);
  }

  /** Requests of a higher priority wait for fewer others. */
  #estimateWait(candidate: ReplicaLoad, request: RoutingRequest): number {
    const { nowMs, priority = 0 } = request;
    const queuedMs = this.#backlog.workMs(candidate.replicaId, nowMs) +
      this.#estimateReported(candidate, nowMs);
    return queuedMs / (1 + Math.max(0, priority));
  }

  /** What is left of the reported queue, which has run down since. */
  #estimateReported(candidate: ReplicaLoad, nowMs: number): number {
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

  #estimateExtra(candidate: ReplicaLoad, request: RoutingRequest): number {
    const { zoneDistanceMs, adapterLoadMs } = this.#options;
    const isNear = candidate.availabilityZone === request.availabilityZone;
    const { adapter } = request;
    const mustLoad = adapter !== undefined &&
      candidate.loadedAdapters?.has(adapter) === false;
    return (isNear ? 0 : zoneDistanceMs) + (mustLoad ? adapterLoadMs : 0);
  }

  #findPool<Candidate extends ReplicaLoad>(
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
