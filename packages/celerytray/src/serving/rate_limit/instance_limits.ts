import {
  createIncarnationKey,
  type IncarnatedTarget,
} from "../incarnation_key.ts";
import type { LimitReport, SharedLimit } from "./limit_report.ts";

/** Options of the limits of a process. */
export interface InstanceLimitsOptions {
  readonly nodeId: string;
  /** Number of processes, which share a limit that no leader divides. */
  readonly countProcesses: () => number;
  /** Whether the leader's status is recent. */
  readonly isStatusFresh: () => boolean;
  readonly onChange: (change: LimitChange) => void;
}

/** A limit that began, changed or ended, for the log. */
export interface LimitChange {
  readonly instanceId: string;
  /** Undefined if the instance has no limit any more. */
  readonly perSecond: number | undefined;
}

/** A response, as far as limits are concerned. */
export interface LimitedResponse {
  readonly target: IncarnatedTarget;
  readonly pool: string;
  /** Limit that it names, if any. */
  readonly perSecond: number | undefined;
  readonly sentAtMs: number;
}

interface Sighting {
  readonly instanceId: string;
  readonly pool: string;
  /** Undefined once the instance names no limit any more. */
  readonly perSecond: number | undefined;
  readonly atMs: number;
}

interface PublishedLimit extends SharedLimit {
  /** Time from which this process has known it. */
  readonly sinceMs: number;
}

interface TokenBucket {
  tokens: number;
  updatedAtMs: number;
}

/** The lowest rate; an instance that wants none is asked from time to time. */
const MIN_PER_SECOND = 0.1;
/** Time for which an answer's word is reported to the leader. */
const REPORT_MS = 5_000;
/** Time in which the leader learns of a sighting and names the limit. */
const NAMING_MS = 3_000;
/** Time for which a request for a pool counts. */
const SEEK_MS = 3_000;
/** Requests that may be sent at once after a pause. */
const BUCKET_SIZE = 2;

/**
 * Keeps this process to its part of the request rates that instances allow. The
 * leader names the processes that may send to a limited instance; before it has,
 * each process takes an equal part.
 */
export class InstanceLimits {
  readonly #options: InstanceLimitsOptions;
  readonly #sightings = new Map<string, Sighting>();
  #published: ReadonlyMap<string, PublishedLimit> | undefined;
  readonly #buckets = new Map<string, TokenBucket>();
  readonly #seeks = new Map<string, SeekCount>();

  constructor(options: InstanceLimitsOptions) {
    this.#options = options;
  }

  /** Number of instances with a limit that this process knows. */
  get count(): number {
    const sighted = [...this.#sightings].flatMap(([incarnation, sighting]) =>
      sighting.perSecond === undefined ? [] : [incarnation]
    );
    return new Set([...sighted, ...this.#published?.keys() ?? []]).size;
  }

  /** Notes what a response says about the rate that its instance allows. */
  noteResponse(
    { target, pool, perSecond, sentAtMs }: LimitedResponse,
    nowMs: number,
  ): void {
    const incarnation = createIncarnationKey(target);
    const before = this.#sightings.get(incarnation);
    const { instanceId } = target;
    if (perSecond === undefined) {
      const knownAtMs = before === undefined
        ? this.#published?.get(incarnation)?.sinceMs
        : before.perSecond === undefined
        ? undefined
        : before.atMs;
      // A response under way when the limit began does not end it.
      if (knownAtMs === undefined || sentAtMs <= knownAtMs) return;
      this.#sightings.set(incarnation, {
        instanceId,
        pool,
        perSecond,
        atMs: nowMs,
      });
      this.#options.onChange({ instanceId, perSecond });
      return;
    }
    const allowed = Math.max(MIN_PER_SECOND, perSecond);
    this.#sightings.set(incarnation, {
      instanceId,
      pool,
      perSecond: allowed,
      atMs: nowMs,
    });
    if (before?.perSecond !== allowed) {
      this.#options.onChange({ instanceId, perSecond: allowed });
    }
  }

  /** Notes a request for a pool, whether or not it can be sent. */
  noteSought(pool: string, nowMs: number): void {
    const seeks = this.#seeks.get(pool);
    if (seeks === undefined || nowMs - seeks.sinceMs > SEEK_MS) {
      this.#seeks.set(pool, {
        sinceMs: nowMs,
        requests: 1,
        requestsBefore: seeks?.requests ?? 0,
        atMs: nowMs,
      });
    } else {
      seeks.requests += 1;
      seeks.atMs = nowMs;
    }
  }

  isLimited(target: IncarnatedTarget, nowMs: number): boolean {
    return this.#findRate(createIncarnationKey(target), nowMs) !== undefined;
  }

  /** Returns the time until a request may be sent; infinite for other processes' instances. */
  findWaitMs(target: IncarnatedTarget, nowMs: number): number {
    const incarnation = createIncarnationKey(target);
    const perSecond = this.#findRate(incarnation, nowMs);
    if (perSecond === undefined) return 0;
    const { tokens } = this.#refill(incarnation, perSecond, nowMs);
    if (tokens >= 1) return 0;
    return perSecond === 0
      ? Number.POSITIVE_INFINITY
      : (1 - tokens) / perSecond * 1_000;
  }

  /** Requests a second that this process may send; undefined without a limit. */
  findRate(target: IncarnatedTarget, nowMs: number): number | undefined {
    return this.#findRate(createIncarnationKey(target), nowMs);
  }

  /** Counts a request that is about to be sent; false if it must wait. */
  tryTakeToken(target: IncarnatedTarget, nowMs: number): boolean {
    if (this.findWaitMs(target, nowMs) > 0) return false;
    const bucket = this.#buckets.get(createIncarnationKey(target));
    if (bucket !== undefined) bucket.tokens = Math.max(0, bucket.tokens - 1);
    return true;
  }

  /** Returns what this process tells the leader. */
  report(nowMs: number): LimitReport {
    this.#forgetOld(nowMs);
    const pools = new Set([
      ...[...this.#sightings.values()].map(({ pool }) => pool),
      ...[...this.#published?.values() ?? []].map(({ pool }) => pool),
    ]);
    const { nodeId } = this.#options;
    return {
      sightings: [...this.#sightings].flatMap((
        [incarnation, { pool, perSecond, atMs }],
      ) =>
        nowMs - atMs > REPORT_MS ? [] : [{
          incarnation,
          pool,
          perSecond: perSecond ?? null,
          ageMs: nowMs - atMs,
        }]
      ),
      seekers: [...this.#seeks].flatMap(([pool, seeks]) =>
        !pools.has(pool) || nowMs - seeks.atMs > SEEK_MS ? [] : [{
          nodeId,
          pool,
          requestsPerSecond: (seeks.requests + seeks.requestsBefore) * 1_000 /
            (nowMs - seeks.sinceMs + SEEK_MS),
        }]
      ),
    };
  }

  /** Takes over the limits of the leader's status; undefined if it names none. */
  adopt(published: readonly SharedLimit[] | undefined, nowMs: number): void {
    const before = this.#published;
    this.#published = published === undefined ? undefined : new Map(
      published.map((limit) => {
        const sinceMs = before?.get(limit.incarnation)?.sinceMs ?? nowMs;
        return [limit.incarnation, { ...limit, sinceMs }];
      }),
    );
  }

  /** Removes instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const [incarnation, { instanceId }] of this.#sightings) {
      if (isPresent(instanceId)) continue;
      this.#sightings.delete(incarnation);
      this.#buckets.delete(incarnation);
    }
  }

  /** Requests a second that this process may send; undefined without a limit. */
  #findRate(incarnation: string, nowMs: number): number | undefined {
    const sighting = this.#sightings.get(incarnation);
    const limit = this.#published?.get(incarnation);
    const { nodeId, countProcesses, isStatusFresh } = this.#options;
    if (limit !== undefined && isStatusFresh()) {
      if (sighting !== undefined && sighting.perSecond === undefined) return;
      if (!limit.owners.includes(nodeId)) return 0;
      return (sighting?.perSecond ?? limit.perSecond) / limit.owners.length;
    }
    const perSecond = sighting === undefined
      ? limit?.perSecond
      : sighting.perSecond;
    if (perSecond === undefined) return undefined;
    // A leader that knows of limits but not of this one knows that it ended.
    const hasEnded = this.#published !== undefined && isStatusFresh() &&
      sighting !== undefined && nowMs - sighting.atMs > NAMING_MS;
    return hasEnded ? undefined : perSecond / Math.max(1, countProcesses());
  }

  #refill(
    incarnation: string,
    perSecond: number,
    nowMs: number,
  ): TokenBucket {
    let bucket = this.#buckets.get(incarnation);
    if (bucket === undefined) {
      // Starts empty, as all processes may learn of a limit at once.
      bucket = { tokens: 0, updatedAtMs: nowMs };
      this.#buckets.set(incarnation, bucket);
    }
    const added = (nowMs - bucket.updatedAtMs) * perSecond / 1_000;
    bucket.tokens = Math.min(BUCKET_SIZE, bucket.tokens + added);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  #forgetOld(nowMs: number): void {
    for (const [incarnation, { perSecond, atMs }] of this.#sightings) {
      const isEnded = perSecond === undefined ||
        this.#findRate(incarnation, nowMs) === undefined;
      if (isEnded && nowMs - atMs > REPORT_MS) {
        this.#sightings.delete(incarnation);
        this.#buckets.delete(incarnation);
      }
    }
    for (const incarnation of this.#buckets.keys()) {
      const isKnown = this.#sightings.has(incarnation) ||
        this.#published?.has(incarnation) === true;
      if (!isKnown) this.#buckets.delete(incarnation);
    }
    for (const [pool, { atMs }] of this.#seeks) {
      if (nowMs - atMs > REPORT_MS) this.#seeks.delete(pool);
    }
  }
}

interface SeekCount {
  sinceMs: number;
  requests: number;
  /** Requests of the interval before. */
  requestsBefore: number;
  atMs: number;
}
