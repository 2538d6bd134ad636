interface Failures {
  readonly count: number;
  readonly avoidedUntilMs: number;
}

const BASE_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;
const MAX_AVOIDED_SHARE = 0.5;
const MAX_TRACKED = 1_000;

/** Remembers which back ends of a service failed lately. */
export class RecentFailures {
  readonly #failures = new Map<string, Failures>();

  /** Takes note of a failed attempt. */
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
    if (this.#failures.size > MAX_TRACKED) this.#dropOldest();
  }

  /** Takes note of an answer. */
  noteAnswer(replicaId: string): void {
    this.#failures.delete(replicaId);
  }

  /**
   * Back ends that failed lately; none if so many failed that the others
   * could not carry the load.
   */
  findAvoided(candidateCount: number, nowMs: number): readonly string[] {
    const avoidedIds: string[] = [];
    for (const [replicaId, { avoidedUntilMs }] of this.#failures) {
      if (avoidedUntilMs > nowMs) avoidedIds.push(replicaId);
    }
    const maxAvoided = candidateCount * MAX_AVOIDED_SHARE;
    return avoidedIds.length > maxAvoided ? [] : avoidedIds;
  }

  #dropOldest(): void {
    for (const replicaId of this.#failures.keys()) {
      this.#failures.delete(replicaId);
      return;
    }
  }
}

/** The recent failures of each service. */
export class ServiceFailures {
  readonly #failures = new Map<string, RecentFailures>();

  /** The failures of one service. */
  get(service: string): RecentFailures {
    let failures = this.#failures.get(service);
    if (failures === undefined) {
      failures = new RecentFailures();
      this.#failures.set(service, failures);
    }
    return failures;
  }
}
