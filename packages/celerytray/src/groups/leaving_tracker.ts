/** An incarnation of an instance that reported that it leaves. */
export interface LeavingIncarnation {
  readonly instanceId: string;
  /** Start of the incarnation, Unix time; undefined if not reported. */
  readonly bornAtMs?: number;
}

/** Maximum number of incarnations kept; the oldest are evicted first. */
const MAX_INCARNATIONS = 4_000;

/**
 * Tracks the instances that reported that they leave. Only a newer incarnation
 * clears the status; neither the passage of time nor a list entry that still
 * says ready does.
 */
export class LeavingTracker {
  readonly #incarnations = new Map<string, LeavingIncarnation>();

  /** Notes a departure; false if it or a newer incarnation is already known. */
  note(incarnation: LeavingIncarnation): boolean {
    const known = this.#incarnations.get(incarnation.instanceId);
    const isOld = known !== undefined && startOf(known) >= startOf(incarnation);
    if (isOld) return false;
    this.#incarnations.delete(incarnation.instanceId);
    this.#incarnations.set(incarnation.instanceId, incarnation);
    this.#evictOldest();
    return true;
  }

  /** Whether this incarnation of an instance reported that it leaves. */
  isLeaving(instanceId: string, bornAtMs: number | undefined): boolean {
    const known = this.#incarnations.get(instanceId);
    return known !== undefined && known.bornAtMs === bornAtMs;
  }

  list(): readonly LeavingIncarnation[] {
    return [...this.#incarnations.values()];
  }

  #evictOldest(): void {
    if (this.#incarnations.size <= MAX_INCARNATIONS) return;
    for (const instanceId of this.#incarnations.keys()) {
      this.#incarnations.delete(instanceId);
      return;
    }
  }
}

function startOf({ bornAtMs }: LeavingIncarnation): number {
  return bornAtMs ?? Number.NEGATIVE_INFINITY;
}
