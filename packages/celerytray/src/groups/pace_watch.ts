interface Suspect {
  isSlow: boolean;
  askedAtMs: number;
}

/** Pace from which on an instance is slow; 1 is its usual one. */
const SLOW_PACE = 1.5;
/** Interval between the questions to an instance whose pace isn't known. */
const SUSPECT_INTERVAL_MS = 150;
/** Interval between the questions to a slow instance. */
const SLOW_INTERVAL_MS = 700;

/** Which instances are slow, as they tell when asked. */
export class PaceWatch {
  readonly #suspects = new Map<string, Suspect>();

  /** Takes note that a replica of an instance was found slow. */
  noteSuspected(instanceId: string): void {
    if (this.#suspects.has(instanceId)) return;
    this.#suspects.set(instanceId, {
      isSlow: false,
      askedAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  /** Takes note of the pace that an instance told; 1 is its usual one. */
  notePace(instanceId: string, pace: number): void {
    const suspect = this.#suspects.get(instanceId);
    if (suspect === undefined) return;
    if (pace >= SLOW_PACE) suspect.isSlow = true;
    else this.#suspects.delete(instanceId);
  }

  isSlow(instanceId: string): boolean {
    return this.#suspects.get(instanceId)?.isSlow === true;
  }

  /** Instances that are to be asked now, which it takes note of. */
  takeDue(nowMs: number): readonly string[] {
    const due: string[] = [];
    for (const [instanceId, suspect] of this.#suspects) {
      const intervalMs = suspect.isSlow
        ? SLOW_INTERVAL_MS
        : SUSPECT_INTERVAL_MS;
      if (nowMs - suspect.askedAtMs < intervalMs) continue;
      suspect.askedAtMs = nowMs;
      due.push(instanceId);
    }
    return due;
  }

  /** Forgets instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#suspects.keys()) {
      if (!isPresent(instanceId)) this.#suspects.delete(instanceId);
    }
  }
}
