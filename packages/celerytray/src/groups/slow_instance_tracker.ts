/** An instance that may be slow. */
interface Candidate {
  isSlow: boolean;
  probedAtMs: number;
}

/** Pace from which an instance counts as slow; 1 is the usual pace. */
const SLOW_PACE = 1.5;
/** Interval between probes of an instance that may be slow. */
const CANDIDATE_PROBE_INTERVAL_MS = 150;
/** Interval between probes of a slow instance. */
const SLOW_PROBE_INTERVAL_MS = 700;

/** Tracks slow instances by the pace that they report when probed. */
export class SlowInstanceTracker {
  readonly #candidates = new Map<string, Candidate>();

  /** Marks a member of a slow replica as possibly slow. */
  noteSuspected(instanceId: string): void {
    if (this.#candidates.has(instanceId)) return;
    this.#candidates.set(instanceId, {
      isSlow: false,
      probedAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Notes the pace that an instance reports: the duration of its work relative
   * to the usual one.
   */
  notePace(instanceId: string, pace: number): void {
    const candidate = this.#candidates.get(instanceId);
    if (candidate === undefined) return;
    if (pace >= SLOW_PACE) candidate.isSlow = true;
    else this.#candidates.delete(instanceId);
  }

  isSlow(instanceId: string): boolean {
    return this.#candidates.get(instanceId)?.isSlow === true;
  }

  /** Instances whose probe is due; counts them as probed now. */
  takeDueProbes(nowMs: number): readonly string[] {
    const due: string[] = [];
    for (const [instanceId, candidate] of this.#candidates) {
      const intervalMs = candidate.isSlow
        ? SLOW_PROBE_INTERVAL_MS
        : CANDIDATE_PROBE_INTERVAL_MS;
      if (nowMs - candidate.probedAtMs < intervalMs) continue;
      candidate.probedAtMs = nowMs;
      due.push(instanceId);
    }
    return due;
  }

  /** Drops instances that are no longer present. */
  retain(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#candidates.keys()) {
      if (!isPresent(instanceId)) this.#candidates.delete(instanceId);
    }
  }
}
