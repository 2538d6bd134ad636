/** An attempt that waits for an instance. */
export interface WatchedAttempt {
  readonly instanceId: string;
  readonly startedAtMs: number;
  /** Rank among those that are moved; the highest goes first. */
  readonly rank: () => number;
  /** Ends it if the request is sure to go on elsewhere. */
  readonly tryMove: (reason: AbandonReason) => void;
}

/** Why requests are moved off an instance. */
export type AbandonReason = "stalled" | "slow";

/** An instance whose attempts all stand still. */
export interface StalledInstance {
  readonly instanceId: string;
  readonly silentMs: number;
  readonly attempts: number;
}

/** Silence of a single attempt after which its instance is doubted. */
const DOUBT_AFTER_MS = 700;
/** Silence of several attempts after which their instance is doubted. */
const DOUBT_SEVERAL_AFTER_MS = 400;
/** Silence after which new requests go elsewhere, where they can. */
const PASS_OVER_AFTER_MS = 200;
/** Silence of all attempts after which they are moved where they can be. */
export const MOVE_AFTER_MS = 1_100;

/** Watches at which instances any attempt makes progress. */
export class StallWatch {
  readonly #attempts = new Map<string, Set<WatchedAttempt>>();
  readonly #progressedAtMs = new Map<string, number>();

  /** Watches an attempt until the returned function is called. */
  begin(attempt: WatchedAttempt): () => void {
    const { instanceId } = attempt;
    let attempts = this.#attempts.get(instanceId);
    if (attempts === undefined) {
      attempts = new Set();
      this.#attempts.set(instanceId, attempts);
    }
    attempts.add(attempt);
    return () => {
      attempts.delete(attempt);
      if (attempts.size > 0 || this.#attempts.get(instanceId) !== attempts) {
        return;
      }
      this.#attempts.delete(instanceId);
      this.#progressedAtMs.delete(instanceId);
    };
  }

  get hasAttempts(): boolean {
    return this.#attempts.size > 0;
  }

  noteProgress(instanceId: string, nowMs: number): void {
    this.#progressedAtMs.set(instanceId, nowMs);
  }

  /** Whether new requests should rather go elsewhere. */
  isSilent(instanceId: string, nowMs: number): boolean {
    const attempts = this.#attempts.get(instanceId);
    return attempts !== undefined &&
      nowMs - this.#aliveAtMs(instanceId, attempts) >= PASS_OVER_AFTER_MS;
  }

  /** Instances that are silent towards all their attempts. */
  findDoubtful(nowMs: number): readonly StalledInstance[] {
    const stalled: StalledInstance[] = [];
    for (const [instanceId, attempts] of this.#attempts) {
      const silentMs = nowMs - this.#aliveAtMs(instanceId, attempts);
      const doubtAfterMs = attempts.size > 1
        ? DOUBT_SEVERAL_AFTER_MS
        : DOUBT_AFTER_MS;
      if (silentMs < doubtAfterMs) continue;
      stalled.push({ instanceId, silentMs, attempts: attempts.size });
    }
    return stalled;
  }

  /** Ends those attempts at an instance that can go on elsewhere. */
  moveAway(instanceId: string, reason: AbandonReason): void {
    const attempts = [...this.#attempts.get(instanceId) ?? []];
    const ranked = attempts.map((attempt) => ({
      attempt,
      rank: attempt.rank(),
    })).sort((a, b) => b.rank - a.rank);
    for (const { attempt } of ranked) attempt.tryMove(reason);
  }

  #aliveAtMs(
    instanceId: string,
    attempts: ReadonlySet<WatchedAttempt>,
  ): number {
    let oldestStartAtMs = Number.POSITIVE_INFINITY;
    for (const { startedAtMs } of attempts) {
      oldestStartAtMs = Math.min(oldestStartAtMs, startedAtMs);
    }
    return Math.max(
      oldestStartAtMs,
      this.#progressedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
  }
}
