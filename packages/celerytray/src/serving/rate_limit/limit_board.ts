import {
  type LimitReport,
  type LimitSeeker,
  maxOwners,
  type SharedLimit,
} from "./limit_report.ts";

/** Requests of the owners of a limit, as a multiple of it. */
const OWNED_DEMAND_FACTOR = 1.5;
/** Part of its share that an owner must have requests for to keep it. */
const MIN_USED_SHARE = 0.5;
/** Instances with a limit that the status names. */
const MAX_LIMITS = 256;
/** Time without an answer after which a limit is forgotten, at least. */
const MIN_MEMORY_MS = 60_000;
/** The same for low limits, in intervals between two requests. */
const MEMORY_INTERVALS = 5;
/** Time for which the end of a limit outweighs older sightings of it. */
const END_MEMORY_MS = 10_000;

interface KnownLimit {
  readonly limit: SharedLimit;
  readonly sightedAtMs: number;
}

/**
 * The leader's division of limited instances among the processes. A limit is
 * shared by no more processes than have the requests to use it; they keep it as
 * long as they have requests for the pool.
 */
export class LimitBoard {
  readonly #known = new Map<string, KnownLimit>();
  readonly #endedAtMs = new Map<string, number>();

  /** Takes over what the last leader published. */
  constructor(
    { published, nowMs }: {
      readonly published: readonly SharedLimit[];
      readonly nowMs: number;
    },
  ) {
    for (const limit of published) {
      this.#known.set(limit.incarnation, { limit, sightedAtMs: nowMs });
    }
  }

  /** Takes a report of all processes into account; returns the limits to name. */
  update(report: LimitReport, nowMs: number): readonly SharedLimit[] {
    for (const { incarnation, pool, perSecond, ageMs } of report.sightings) {
      const atMs = nowMs - ageMs;
      const known = this.#known.get(incarnation);
      const latestAtMs = this.#endedAtMs.get(incarnation) ?? known?.sightedAtMs;
      if (latestAtMs !== undefined && atMs < latestAtMs) continue;
      if (perSecond === null) {
        this.#known.delete(incarnation);
        this.#endedAtMs.set(incarnation, atMs);
        continue;
      }
      this.#endedAtMs.delete(incarnation);
      const owners = known?.limit.owners ?? [];
      this.#known.set(incarnation, {
        limit: { incarnation, pool, perSecond, owners },
        sightedAtMs: atMs,
      });
    }
    this.#forgetOld(nowMs);
    return this.#divide(report.seekers);
  }

  #forgetOld(nowMs: number): void {
    for (const [incarnation, { limit, sightedAtMs }] of this.#known) {
      const memoryMs = Math.max(
        MIN_MEMORY_MS,
        MEMORY_INTERVALS * 1_000 / limit.perSecond,
      );
      const isKept = this.#known.size <= MAX_LIMITS &&
        nowMs - sightedAtMs <= memoryMs;
      if (!isKept) this.#known.delete(incarnation);
    }
    for (const [incarnation, atMs] of this.#endedAtMs) {
      if (nowMs - atMs > END_MEMORY_MS) this.#endedAtMs.delete(incarnation);
    }
  }

  #divide(seekers: readonly LimitSeeker[]): readonly SharedLimit[] {
    const ownedPerSecond = new Map<string, number>();
    const limits: SharedLimit[] = [];
    for (const [incarnation, known] of this.#known) {
      const { pool, perSecond, owners: before } = known.limit;
      const inPool = seekers.filter((seeker) => seeker.pool === pool);
      const owners = selectOwners({
        before,
        inPool,
        perSecond,
        ownedPerSecond,
      });
      const limit = { incarnation, pool, perSecond, owners };
      this.#known.set(incarnation, { ...known, limit });
      limits.push(limit);
    }
    return limits;
  }
}

/**
 * Keeps the owners that use their shares, and adds others until their requests use
 * the limit: those with the most for each one that they may send already.
 */
function selectOwners(
  { before, inPool, perSecond, ownedPerSecond }: {
    readonly before: readonly string[];
    readonly inPool: readonly LimitSeeker[];
    readonly perSecond: number;
    /** Rate that each process owns so far; updated. */
    readonly ownedPerSecond: Map<string, number>;
  },
): readonly string[] {
  // Without anyone who seeks, the last owners keep the right.
  if (inPool.length === 0) return before;
  const maxCount = maxOwners(perSecond);
  const seeking = new Map(inPool.map((seeker) => [seeker.nodeId, seeker]));
  const minPerSecond = perSecond / before.length * MIN_USED_SHARE;
  const owners = before.filter((nodeId) =>
    (seeking.get(nodeId)?.requestsPerSecond ?? 0) >= minPerSecond
  ).slice(0, maxCount);
  let demand = owners.reduce(
    (sum, nodeId) => sum + seeking.get(nodeId)!.requestsPerSecond,
    0,
  );
  const rank = ({ nodeId, requestsPerSecond }: LimitSeeker) =>
    requestsPerSecond / (1 + (ownedPerSecond.get(nodeId) ?? 0));
  const others = inPool.filter(({ nodeId }) => !owners.includes(nodeId))
    .sort((a, b) => rank(b) - rank(a));
  for (const { nodeId, requestsPerSecond } of others) {
    const suffices = owners.length > 0 &&
      demand >= perSecond * OWNED_DEMAND_FACTOR;
    if (suffices || owners.length >= maxCount) break;
    owners.push(nodeId);
    demand += requestsPerSecond;
  }
  for (const nodeId of owners) {
    const owned = ownedPerSecond.get(nodeId) ?? 0;
    ownedPerSecond.set(nodeId, owned + perSecond / owners.length);
  }
  return owners;
}
