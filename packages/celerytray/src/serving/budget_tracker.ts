/** Time budgets with which requests of each route come at first. */
export class CallerTimeoutTracker {
  readonly #usualMs = new Map<string, number>();

  /**
   * Takes note of a request's time budget; returns how much of the usual one
   * had passed, as it has where a caller sends a request once more.
   */
  notePassed(route: string, budgetMs: number): number {
    const usualMs = Math.max(this.#usualMs.get(route) ?? 0, budgetMs);
    this.#usualMs.set(route, usualMs);
    return usualMs - budgetMs;
  }
}
