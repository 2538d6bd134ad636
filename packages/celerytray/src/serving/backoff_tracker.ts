/** Longest back-off that is granted, whatever an instance asks for. */
export const MAX_BACKOFF_MS = 60_000;

/**
 * Until when instances want no requests from this process. Whatever sends
 * requests asks here first. All times are of the steady clock.
 */
export class BackoffTracker {
  readonly #untilMs = new Map<string, number>();

  /** Takes note of a back-off that an instance asked for; returns what it gets. */
  noteBackoff(instanceId: string, askedMs: number, nowMs: number): number {
    const backoffMs = Math.min(Math.max(0, askedMs), MAX_BACKOFF_MS);
    const untilMs = Math.max(
      nowMs + backoffMs,
      this.#untilMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
    this.#untilMs.set(instanceId, untilMs);
    return backoffMs;
  }

  isBackingOff(instanceId: string, nowMs: number): boolean {
    return (this.#untilMs.get(instanceId) ?? nowMs) > nowMs;
  }

  /** Time until the first of some instances takes requests; 0 if one does. */
  shortestBackoffMs(instanceIds: readonly string[], nowMs: number): number {
    const restsMs = instanceIds.map((id) =>
      Math.max(0, (this.#untilMs.get(id) ?? nowMs) - nowMs)
    );
    return restsMs.length === 0 ? 0 : Math.min(...restsMs);
  }

  /** Forgets instances that are gone and backoffs that are over. */
  keepOnly(isPresent: (instanceId: string) => boolean, nowMs: number): void {
    for (const [instanceId, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs && !isPresent(instanceId)) {
        this.#untilMs.delete(instanceId);
      }
    }
  }
}
