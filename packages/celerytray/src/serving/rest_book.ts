/** Longest rest that is granted, whatever an instance asks for. */
export const MAX_REST_MS = 60_000;

/**
 * Until when instances want no requests from this process. Whatever sends
 * requests asks here first. All times are of the steady clock.
 */
export class RestBook {
  readonly #untilMs = new Map<string, number>();

  /** Takes note of a rest that an instance asked for; returns what it gets. */
  noteRest(instanceId: string, askedMs: number, nowMs: number): number {
    const restMs = Math.min(Math.max(0, askedMs), MAX_REST_MS);
    const untilMs = Math.max(
      nowMs + restMs,
      this.#untilMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
    this.#untilMs.set(instanceId, untilMs);
    return restMs;
  }

  isResting(instanceId: string, nowMs: number): boolean {
    return (this.#untilMs.get(instanceId) ?? nowMs) > nowMs;
  }

  /** Time until the first of some instances takes requests; 0 if one does. */
  shortestRestMs(instanceIds: readonly string[], nowMs: number): number {
    const restsMs = instanceIds.map((id) =>
      Math.max(0, (this.#untilMs.get(id) ?? nowMs) - nowMs)
    );
    return restsMs.length === 0 ? 0 : Math.min(...restsMs);
  }

  /** Forgets instances that are gone and rests that are over. */
  keepOnly(isPresent: (instanceId: string) => boolean, nowMs: number): void {
    for (const [instanceId, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs && !isPresent(instanceId)) {
        this.#untilMs.delete(instanceId);
      }
    }
  }
}
