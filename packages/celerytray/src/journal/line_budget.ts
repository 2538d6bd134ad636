/** Whether a line tells of a failure or a belief, or of a plain success. */
export type LineRank = "notable" | "routine";

/** Lines of a rank that may be written in a second. */
const MAX_LINES_PER_SECOND: Readonly<Record<LineRank, number>> = {
  notable: 150,
  routine: 40,
};
const WINDOW_MS = 1_000;

/** Holds the lines of each rank to a number a second. */
export class LineBudget {
  #windowStartMs = Number.NEGATIVE_INFINITY;
  #counts: Record<LineRank, number> = { notable: 0, routine: 0 };
  #omitted = 0;

  /** Whether a line may be written; counts it. */
  tryTake(rank: LineRank, nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#counts = { notable: 0, routine: 0 };
    }
    if (this.#counts[rank] >= MAX_LINES_PER_SECOND[rank]) {
      this.#omitted += 1;
      return false;
    }
    this.#counts[rank] += 1;
    return true;
  }

  /** Lines left out since this was last asked. */
  takeOmitted(): number {
    const omitted = this.#omitted;
    this.#omitted = 0;
    return omitted;
  }
}
