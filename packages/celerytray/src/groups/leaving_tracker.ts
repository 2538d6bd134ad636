/** An incarnation of an instance that said in an answer that it leaves. */
export interface LeavingIncarnation {
  readonly instanceId: string;
  /** Start of that incarnation, as Unix time; undefined where it isn't told. */
  readonly bornAtMs?: number;
}

/** Incarnations that are remembered; the oldest are forgotten first. */
const MAX_LIVES = 4_000;

/**
 * Which instances said that they leave. Only a newer incarnation takes the status back,
 * neither time nor an entry of the list that still calls the instance ready.
 */
export class LeavingTracker {
  readonly #incarnations = new Map<string, LeavingIncarnation>();

  /** Takes note of a status; false if nothing is new in it. */
  note(incarnation: LeavingIncarnation): boolean {
    const known = this.#incarnations.get(incarnation.instanceId);
    const isOld = known !== undefined && startOf(known) >= startOf(incarnation);
    if (isOld) return false;
    this.#incarnations.delete(incarnation.instanceId);
    this.#incarnations.set(incarnation.instanceId, incarnation);
    this.#forgetOldest();
    return true;
  }

  /** Whether this incarnation of an instance said that it leaves. */
  isLeaving(instanceId: string, bornAtMs: number | undefined): boolean {
    const known = this.#incarnations.get(instanceId);
    return known !== undefined && known.bornAtMs === bornAtMs;
  }

  list(): readonly LeavingIncarnation[] {
    return [...this.#incarnations.values()];
  }

  #forgetOldest(): void {
    if (this.#incarnations.size <= MAX_LIVES) return;
    for (const instanceId of this.#incarnations.keys()) {
      this.#incarnations.delete(instanceId);
      return;
    }
  }
}

function startOf({ bornAtMs }: LeavingIncarnation): number {
  return bornAtMs ?? Number.NEGATIVE_INFINITY;
}
