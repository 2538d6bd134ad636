/** A life of an instance that said in an answer that it leaves. */
export interface LeavingLife {
  readonly instanceId: string;
  /** Start of that life, as Unix time; undefined where it isn't told. */
  readonly bornAtMs?: number;
}

/** Lives that are remembered; the oldest are forgotten first. */
const MAX_LIVES = 4_000;

/**
 * Which instances said that they leave. Only a newer life takes the status back,
 * neither time nor an entry of the list that still calls the instance ready.
 */
export class LeavingTracker {
  readonly #lives = new Map<string, LeavingLife>();

  /** Takes note of a status; false if nothing is new in it. */
  note(life: LeavingLife): boolean {
    const known = this.#lives.get(life.instanceId);
    const isOld = known !== undefined && startOf(known) >= startOf(life);
    if (isOld) return false;
    this.#lives.delete(life.instanceId);
    this.#lives.set(life.instanceId, life);
    this.#forgetOldest();
    return true;
  }

  /** Whether this life of an instance said that it leaves. */
  isLeaving(instanceId: string, bornAtMs: number | undefined): boolean {
    const known = this.#lives.get(instanceId);
    return known !== undefined && known.bornAtMs === bornAtMs;
  }

  list(): readonly LeavingLife[] {
    return [...this.#lives.values()];
  }

  #forgetOldest(): void {
    if (this.#lives.size <= MAX_LIVES) return;
    for (const instanceId of this.#lives.keys()) {
      this.#lives.delete(instanceId);
      return;
    }
  }
}

function startOf({ bornAtMs }: LeavingLife): number {
  return bornAtMs ?? Number.NEGATIVE_INFINITY;
}
