import type { RoutingOutcome } from "./router.ts";

/** Options of outlier ejection. */
export interface OutlierEjectorOptions {
  /** Largest share of a service's replicas that may be ejected at once. */
  readonly maxEjectedShare?: number;
  readonly consecutiveFailures?: number;
  /** Ejects a replica that is slower than its service by this factor. */
  readonly slownessFactor?: number;
  /** Number of served requests before slowness counts. */
  readonly minSamples?: number;
  readonly baseEjectionMs?: number;
  readonly maxEjectionMs?: number;
  readonly slowStartMs?: number;
}

interface ReplicaStats {
  failures: number;
  samples: number;
  firstTokenMs: number;
  ejectionCount: number;
  ejectedUntilMs: number;
}

interface ServiceStats {
  size: number;
  firstTokenMs: number | undefined;
  readonly replicas: Map<string, ReplicaStats>;
  /** Ejected replicas, oldest ejection first. */
  readonly ejectedIds: Set<string>;
}

const DEFAULTS: Required<OutlierEjectorOptions> = {
  maxEjectedShare: 0.2,
  consecutiveFailures: 5,
  slownessFactor: 3,
  minSamples: 10,
  baseEjectionMs: 10_000,
  maxEjectionMs: 300_000,
  slowStartMs: 30_000,
};
const REPLICA_SMOOTHING = 0.2;
const SERVICE_SMOOTHING = 0.01;
const MIN_SLOW_START_SHARE = 0.1;

/** Temporarily ejects replicas that fail or are slow. */
export class OutlierEjector {
  readonly #options: Required<OutlierEjectorOptions>;
  readonly #services = new Map<string, ServiceStats>();

  constructor(options: OutlierEjectorOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Sets the number of replicas of a service. May end the oldest ejections. */
  setSize(service: string, size: number): void {
    const record = this.#getService(service);
    record.size = size;
    for (const replicaId of record.ejectedIds) {
      if (record.ejectedIds.size <= this.#maxEjected(record)) return;
      record.ejectedIds.delete(replicaId);
      record.replicas.get(replicaId)!.ejectedUntilMs = 0;
    }
  }

  /** Records the outcome of a request; may eject its replica. */
  noteOutcome(outcome: RoutingOutcome): void {
    const service = this.#getService(outcome.service);
    const replica = getReplica(service, outcome.replicaId);
    if (outcome.kind === "failed") replica.failures += 1;
    else replica.failures = 0;
    if (outcome.firstTokenMs !== undefined) {
      addSample({ service, replica, firstTokenMs: outcome.firstTokenMs });
    }
    const hasFailed = replica.failures >= this.#options.consecutiveFailures;
    if (hasFailed || this.#isSlow(service, replica)) {
      this.#eject(service, outcome);
    }
  }

  /**
   * Returns the share of its traffic that a replica may get: 0 while ejected,
   * then rising during slow start.
   */
  shareOf(
    replicaId: string,
    at: { readonly service: string; readonly nowMs: number },
  ): number {
    const service = this.#services.get(at.service);
    const replica = service?.replicas.get(replicaId);
    if (service === undefined || replica === undefined) return 1;
    if (replica.ejectionCount === 0) return 1;
    if (at.nowMs < replica.ejectedUntilMs) return 0;
    service.ejectedIds.delete(replicaId);
    const returnedMs = at.nowMs - replica.ejectedUntilMs;
    const progress = returnedMs / this.#options.slowStartMs;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, progress));
  }

  /** Counts the replicas that are ejected. */
  countEjected(service: string, nowMs: number): number {
    const record = this.#getService(service);
    const replicas = [...record.replicas.values()];
    return replicas.filter(({ ejectedUntilMs }) => nowMs < ejectedUntilMs)
      .length;
  }

  #eject(service: ServiceStats, outcome: RoutingOutcome): void {
    const { replicaId, nowMs } = outcome;
    const replica = service.replicas.get(replicaId)!;
    if (nowMs < replica.ejectedUntilMs) return;
    removeExpired(service, nowMs);
    if (service.ejectedIds.size >= this.#maxEjected(service)) return;
    const { baseEjectionMs, maxEjectionMs } = this.#options;
    replica.ejectedUntilMs = nowMs +
      Math.min(maxEjectionMs, baseEjectionMs * 2 ** replica.ejectionCount);
    replica.ejectionCount += 1;
    replica.failures = 0;
    replica.samples = 0;
    service.ejectedIds.add(replicaId);
  }

  #isSlow(service: ServiceStats, replica: ReplicaStats): boolean {
    const { minSamples, slownessFactor } = this.#options;
    return service.firstTokenMs !== undefined &&
      replica.samples >= minSamples &&
      replica.firstTokenMs > service.firstTokenMs * slownessFactor;
  }

  #maxEjected(service: ServiceStats): number {
    return Math.floor(service.size * this.#options.maxEjectedShare);
  }

  #getService(name: string): ServiceStats {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = {
        size: 0,
        firstTokenMs: undefined,
        replicas: new Map(),
        ejectedIds: new Set(),
      };
      this.#services.set(name, service);
    }
    return service;
  }
}

function getReplica(
  service: ServiceStats,
  replicaId: string,
): ReplicaStats {
  let replica = service.replicas.get(replicaId);
  if (replica === undefined) {
    replica = {
      failures: 0,
      samples: 0,
      firstTokenMs: 0,
      ejectionCount: 0,
      ejectedUntilMs: 0,
    };
    service.replicas.set(replicaId, replica);
  }
  return replica;
}

function addSample(
  sample: {
    readonly service: ServiceStats;
    readonly replica: ReplicaStats;
    readonly firstTokenMs: number;
  },
): void {
  const { service, replica, firstTokenMs } = sample;
  replica.samples += 1;
  const previous = replica.samples === 1 ? firstTokenMs : replica.firstTokenMs;
  replica.firstTokenMs = previous +
    (firstTokenMs - previous) * REPLICA_SMOOTHING;
  const mean = service.firstTokenMs ?? firstTokenMs;
  service.firstTokenMs = mean + (firstTokenMs - mean) * SERVICE_SMOOTHING;
}

function removeExpired(service: ServiceStats, nowMs: number): void {
  for (const replicaId of service.ejectedIds) {
    const { ejectedUntilMs } = service.replicas.get(replicaId)!;
    if (nowMs >= ejectedUntilMs) service.ejectedIds.delete(replicaId);
  }
}
