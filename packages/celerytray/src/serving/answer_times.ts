/** Answers count for one to two such periods. */
const PERIOD_MS = 30_000;

interface LongestTimes {
  readonly sinceMs: number;
  /** In the current period and in the one before; 0 without an answer. */
  readonly currentMs: number;
  readonly previousMs: number;
}

/** The longest times that answers took lately, by route. */
export class AnswerTimes {
  readonly #longest = new Map<string, LongestTimes>();

  /** Records the time that an answer took. */
  note(
    route: string,
    { durationMs, nowMs }: {
      readonly durationMs: number;
      readonly nowMs: number;
    },
  ): void {
    const known = this.#findRecent(route, nowMs) ??
      { sinceMs: nowMs, currentMs: 0, previousMs: 0 };
    const currentMs = Math.max(known.currentMs, durationMs);
    this.#longest.set(route, { ...known, currentMs });
  }

  /** The longest time lately; undefined if there was no answer. */
  findLongestMs(route: string, nowMs: number): number | undefined {
    const known = this.#findRecent(route, nowMs);
    return known === undefined
      ? undefined
      : Math.max(known.currentMs, known.previousMs) || undefined;
  }

  #findRecent(route: string, nowMs: number): LongestTimes | undefined {
    const known = this.#longest.get(route);
    if (known === undefined) return undefined;
    const { sinceMs, currentMs } = known;
    const ageMs = nowMs - sinceMs;
    if (ageMs < PERIOD_MS) return known;
    return ageMs < 2 * PERIOD_MS
      ? { sinceMs: sinceMs + PERIOD_MS, currentMs: 0, previousMs: currentMs }
      : undefined;
  }
}
