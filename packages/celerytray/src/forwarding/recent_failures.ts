interface Failures {
  readonly count: number;
  readonly avoidedUntilMs: number;
}

const BASE_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;
const MIN_PREFERRED_SHARE = 0.5;
const MAX_TRACKED = 20_000;

/** Remembers which back ends failed lately, so that others go first. */
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
   * Candidates that did not fail lately; all of them if those are too few to
   * carry the load.
   */
  prefer<Candidate extends { readonly replicaId: string }>(
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    if (this.#failures.size === 0) return candidates;
    const preferred = candidates.filter(({ replicaId }) =>
      (this.#failures.get(replicaId)?.avoidedUntilMs ?? 0) <= nowMs
    );
    const minCount = candidates.length * MIN_PREFERRED_SHARE;
    return preferred.length < minCount ? candidates : preferred;
  }

  #dropOldest(): void {
    for (const replicaId of this.#failures.keys()) {
      this.#failures.delete(replicaId);
      return;
    }
  }
}
