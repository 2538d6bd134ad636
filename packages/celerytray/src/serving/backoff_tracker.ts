/** Longest back-off that is granted, whatever an instance asks for. */
export const MAX_BACKOFF_MS = 60_000;

/**
 * Tracks until when instances asked this process to send no requests. Checked
 * before every request. All times are of the steady clock.
 */
export class BackoffTracker {
  readonly #untilMs = new Map<string, number>();

  /** Records a back-off that an instance requested; returns the granted time. */
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

  /** Returns the time until the first of the instances takes requests; 0 if one does. */
  shortestBackoffMs(instanceIds: readonly string[], nowMs: number): number {
    const remainingMs = instanceIds.map((id) =>
      Math.max(0, (this.#untilMs.get(id) ?? nowMs) - nowMs)
    );
    return remainingMs.length === 0 ? 0 : Math.min(...remainingMs);
  }

  /** Removes expired back-offs of instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean, nowMs: number): void {
    for (const [instanceId, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs && !isPresent(instanceId)) {
        this.#untilMs.delete(instanceId);
      }
    }
  }
}
