/** Tracks the timeout with which callers first send requests of each route. */
export class CallerTimeoutTracker {
  readonly #longestMs = new Map<string, number>();

  /**
   * Records a request's timeout; returns by how much it is below the route's
   * longest one. It is lower on a caller's retry, by the time that has elapsed.
   */
  noteTimeout(route: string, timeoutMs: number): number {
    const longestMs = Math.max(this.#longestMs.get(route) ?? 0, timeoutMs);
    this.#longestMs.set(route, longestMs);
    return longestMs - timeoutMs;
  }
}
