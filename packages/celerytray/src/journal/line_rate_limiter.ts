/** `notable`: failures and changes of state. `routine`: successes. */
export type LineSeverity = "notable" | "routine";

/** Maximum lines per second of each severity. */
const MAX_LINES_PER_SECOND: Readonly<Record<LineSeverity, number>> = {
  notable: 150,
  routine: 40,
};
const WINDOW_MS = 1_000;

/** Limits the lines written per second, separately for each severity. */
export class LineRateLimiter {
  #windowStartMs = Number.NEGATIVE_INFINITY;
  #counts: Record<LineSeverity, number> = { notable: 0, routine: 0 };
  #omitted = 0;

  /** Whether a line may be written; counts it as written or omitted. */
  tryAcquire(severity: LineSeverity, nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#counts = { notable: 0, routine: 0 };
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
