import type { RoutingOutcome } from "./router.ts";

/** Options of ejection. */
export interface OutlierEjectorOptions {
  /** Largest share of a service's replicas ejected at once. */
  readonly maxEjectedShare?: number;
  readonly consecutiveFailures?: number;
  /** Ejects a replica slower than the service by this factor. */
  readonly slownessFactor?: number;
  /** Served requests before slowness counts. */
  readonly minSamples?: number;
  readonly baseEjectionMs?: number;
  readonly maxEjectionMs?: number;
  readonly slowStartMs?: number;
}

interface ReplicaRecord {
  failures: number;
  samples: number;
  firstTokenMs: number;
  ejectionCount: number;
  ejectedUntilMs: number;
}

interface ServiceRecord {
  size: number;
  firstTokenMs: number | undefined;
  readonly replicas: Map<string, ReplicaRecord>;
  /** Ejected replicas, in the order of their ejection. */
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

/** Takes replicas that fail or are slow out of the choice for a while. */
export class OutlierEjector {
  readonly #options: Required<OutlierEjectorOptions>;
  readonly #services = new Map<string, ServiceRecord>();

  constructor(options: OutlierEjectorOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** States how many replicas a service has; may end the oldest ejections. */
  setSize(service: string, size: number): void {
    const record = this.#findService(service);
    record.size = size;
    for (const replicaId of record.ejectedIds) {
      if (record.ejectedIds.size <= this.#maxEjected(record)) return;
      record.ejectedIds.delete(replicaId);
      record.replicas.get(replicaId)!.ejectedUntilMs = 0;
    }
  }

  /** Learns what became of a request; may eject its replica. */
  noteOutcome(outcome: RoutingOutcome): void {
    const service = this.#findService(outcome.service);
    const replica = findReplica(service, outcome.replicaId);
    if (outcome.kind === "failed") replica.failures += 1;
    else replica.failures = 0;
    if (outcome.firstTokenMs !== undefined) {
      takeSample({ service, replica, firstTokenMs: outcome.firstTokenMs });
    }
    const hasFailed = replica.failures >= this.#options.consecutiveFailures;
    if (hasFailed || this.#isSlow(service, replica)) {
      this.#eject(service, outcome);
    }
  }

  /** Share of its traffic a replica may take now: 0 while ejected. */
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

  /** Replicas ejected now. */
  countEjected(service: string, nowMs: number): number {
    const record = this.#findService(service);
    const replicas = [...record.replicas.values()];
    return replicas.filter(({ ejectedUntilMs }) => nowMs < ejectedUntilMs)
      .length;
  }

  #eject(service: ServiceRecord, outcome: RoutingOutcome): void {
    const { replicaId, nowMs } = outcome;
    const replica = service.replicas.get(replicaId)!;
    if (nowMs < replica.ejectedUntilMs) return;
    endElapsed(service, nowMs);
    if (service.ejectedIds.size >= this.#maxEjected(service)) return;
    const { baseEjectionMs, maxEjectionMs } = this.#options;
    replica.ejectedUntilMs = nowMs +
      Math.min(maxEjectionMs, baseEjectionMs * 2 ** replica.ejectionCount);
    replica.ejectionCount += 1;
    replica.failures = 0;
    replica.samples = 0;
    service.ejectedIds.add(replicaId);
  }

  #isSlow(service: ServiceRecord, replica: ReplicaRecord): boolean {
    const { minSamples, slownessFactor } = this.#options;
    return service.firstTokenMs !== undefined &&
      replica.samples >= minSamples &&
      replica.firstTokenMs > service.firstTokenMs * slownessFactor;
  }

  #maxEjected(service: ServiceRecord): number {
    return Math.floor(service.size * this.#options.maxEjectedShare);
  }

  #findService(name: string): ServiceRecord {
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

function findReplica(
  service: ServiceRecord,
  replicaId: string,
): ReplicaRecord {
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

function takeSample(
  sample: {
    readonly service: ServiceRecord;
    readonly replica: ReplicaRecord;
    readonly firstTokenMs: number;
  },
): void {
  const { service, replica, firstTokenMs } = sample;
  replica.samples += 1;
  const known = replica.samples === 1 ? firstTokenMs : replica.firstTokenMs;
  replica.firstTokenMs = known + (firstTokenMs - known) * REPLICA_SMOOTHING;
  const mean = service.firstTokenMs ?? firstTokenMs;
  service.firstTokenMs = mean + (firstTokenMs - mean) * SERVICE_SMOOTHING;
}

function endElapsed(service: ServiceRecord, nowMs: number): void {
  for (const replicaId of service.ejectedIds) {
    const { ejectedUntilMs } = service.replicas.get(replicaId)!;
    if (nowMs >= ejectedUntilMs) service.ejectedIds.delete(replicaId);
  }
}
