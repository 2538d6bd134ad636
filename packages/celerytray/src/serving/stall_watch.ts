/** An attempt that waits for bytes of an instance. */
export interface WatchedAttempt {
  readonly instanceId: string;
  readonly startedAtMs: number;
  /** Ends the attempt, so that the request moves on. */
  readonly abandon: () => void;
}

/** An instance whose attempts all stand still. */
export interface StalledInstance {
  readonly instanceId: string;
  readonly silentMs: number;
  readonly attempts: number;
}

/** Silence of all attempts after which an instance is doubted. */
export const DOUBT_AFTER_MS = 700;
/** Silence of all attempts after which they are moved. */
export const MOVE_AFTER_MS = 1_100;

/** Watches which instances send bytes to any of their attempts. */
export class StallWatch {
  readonly #attempts = new Map<string, Set<WatchedAttempt>>();
  readonly #lastByteAtMs = new Map<string, number>();

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
      this.#lastByteAtMs.delete(instanceId);
    };
  }

  noteBytes(instanceId: string, nowMs: number): void {
    this.#lastByteAtMs.set(instanceId, nowMs);
  }

  /** Instances that were silent towards all their attempts for a time. */
  findStalled(
    options: { readonly silentMs: number; readonly nowMs: number },
  ): readonly StalledInstance[] {
    const stalled: StalledInstance[] = [];
    for (const [instanceId, attempts] of this.#attempts) {
      const silentMs = options.nowMs - this.#aliveAtMs(instanceId, attempts);
      if (silentMs < options.silentMs) continue;
      stalled.push({ instanceId, silentMs, attempts: attempts.size });
    }
    return stalled;
  }

  /** Ends all attempts at an instance. */
  abandon(instanceId: string): void {
    for (const attempt of [...this.#attempts.get(instanceId) ?? []]) {
      attempt.abandon();
    }
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
      this.#lastByteAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
  }
}
