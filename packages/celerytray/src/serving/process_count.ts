interface CountSample {
  readonly processes: number;
  readonly atMs: number;
}

/** Window over which the largest number counts. */
const WINDOW_MS = 10_000;
/** Time until a sum over all processes is complete. */
const SETTLE_MS = 3_000;

/**
 * The number of processes, as the largest recently reported one, since the
 * reported number may be too low after a change of leader.
 */
export class ProcessCount {
  /** Samples in decreasing order from the oldest to the newest. */
  #samples: CountSample[] = [];
  #firstFreshAtMs: number | undefined;

  /** Records a reported number; called at least once a second. */
  note(
    processes: number,
    { nowMs, isFresh }: { readonly nowMs: number; readonly isFresh: boolean },
  ): void {
    if (!isFresh) {
      // The last fresh number is valid until the next one.
      this.#samples = this.#samples.slice(0, 1)
        .map((sample) => ({ ...sample, atMs: nowMs }));
      return;
    }
    this.#firstFreshAtMs ??= nowMs;
    this.#samples = this.#samples.filter((sample) =>
      sample.processes > processes && nowMs - sample.atMs <= WINDOW_MS
    );
    this.#samples.push({ processes, atMs: nowMs });
  }

  /** Returns the largest number of the last 10 s; undefined until it is reliable. */
  largest(nowMs: number): number | undefined {
    const isSettled = this.#firstFreshAtMs !== undefined &&
      nowMs - this.#firstFreshAtMs >= SETTLE_MS;
    return isSettled ? this.#samples[0]?.processes : undefined;
  }
}
