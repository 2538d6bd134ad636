/**
 * `cut`: answers that end before they are complete. `notable`: other failures and
 * changes of state. `routine`: successes.
 */
export type LineSeverity = "cut" | "notable" | "routine";

/** Maximum lines per second of each severity. */
const MAX_LINES_PER_SECOND: Readonly<Record<LineSeverity, number>> = {
  cut: 50,
  notable: 150,
  routine: 40,
};
const WINDOW_MS = 1_000;
const NONE: Readonly<Record<LineSeverity, number>> = {
  cut: 0,
  notable: 0,
  routine: 0,
};

/** Limits the lines written per second, separately for each severity. */
export class LineRateLimiter {
  #windowStartMs = Number.NEGATIVE_INFINITY;
  #counts: Record<LineSeverity, number> = { ...NONE };
  #omitted = 0;

  /** Whether a line may be written; counts it as written or omitted. */
  tryAcquire(severity: LineSeverity, nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#counts = { ...NONE };
    }
    if (this.#counts[severity] >= MAX_LINES_PER_SECOND[severity]) {
      this.#omitted += 1;
      return false;
    }
    this.#counts[severity] += 1;
    return true;
  }

  /** Returns the number of lines omitted since the last call. */
  takeOmitted(): number {
    const omitted = this.#omitted;
    this.#omitted = 0;
    return omitted;
  }
}
