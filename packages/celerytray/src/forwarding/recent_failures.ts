interface Failures {
  readonly count: number;
  readonly avoidedUntilMs: number;
}

const BASE_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;
const MAX_AVOIDED_SHARE = 0.5;
const MAX_TRACKED_BACKENDS = 1_000;

/**
 * Tracks the back ends of a service that failed recently; doubles the avoidance
 * with each failure.
 */
export class RecentFailures {
  readonly #failures = new Map<string, Failures>();

  /** Records a failed attempt. */
  noteFailure(replicaId: string, nowMs: number): void {
    const count = (this.#failures.get(replicaId)?.count ?? 0) + 1;
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      BASE_AVOIDANCE_MS * 2 ** (count - 1),
    );
    this.#failures.delete(replicaId);
    this.#failures.set(replicaId, {
      count,
      avoidedUntilMs: nowMs + avoidanceMs,
    });
    if (this.#failures.size > MAX_TRACKED_BACKENDS) this.#evictOldest();
  }

  /** Records a response; ends the avoidance. */
  noteSuccess(replicaId: string): void {
    this.#failures.delete(replicaId);
  }

  /**
   * Ids of the back ends to avoid; none if so many failed that the others
   * could not carry the load.
   */
  listAvoidedIds(candidateCount: number, nowMs: number): readonly string[] {
    const avoidedIds: string[] = [];
    for (const [replicaId, { avoidedUntilMs }] of this.#failures) {
      if (avoidedUntilMs > nowMs) avoidedIds.push(replicaId);
    }
    const maxAvoided = candidateCount * MAX_AVOIDED_SHARE;
    return avoidedIds.length > maxAvoided ? [] : avoidedIds;
  }

  #evictOldest(): void {
    for (const replicaId of this.#failures.keys()) {
      this.#failures.delete(replicaId);
      return;
    }
  }
}

/** The recent failures by service. */
export class ServiceFailures {
  readonly #failures = new Map<string, RecentFailures>();

  /** The recent failures of one service. */
  get(service: string): RecentFailures {
    let failures = this.#failures.get(service);
    if (failures === undefined) {
      failures = new RecentFailures();
      this.#failures.set(service, failures);
    }
    return failures;
  }
}
