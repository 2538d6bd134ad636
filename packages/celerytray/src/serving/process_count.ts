interface CountSample {
  readonly processes: number;
  readonly atMs: number;
}

/** Time over which the largest number counts. */
const MEMORY_MS = 10_000;
/** Time that a sum over all processes takes to be whole. */
const SETTLE_MS = 3_000;

/**
 * The number of processes, as the largest one that was told lately: it may be
 * too low after a lead was lost.
 */
export class ProcessCount {
  /** Numbers that fall from the oldest to the newest. */
  #samples: CountSample[] = [];
  #heardAtMs: number | undefined;

  /** Takes note of a number; called at least once a second. */
  note(
    processes: number,
    { nowMs, isFresh }: { readonly nowMs: number; readonly isFresh: boolean },
  ): void {
    if (!isFresh) {
      // What was told last holds until another number is told.
      this.#samples = this.#samples.slice(0, 1)
        .map((sample) => ({ ...sample, atMs: nowMs }));
      return;
    }
    this.#heardAtMs ??= nowMs;
    this.#samples = this.#samples.filter((sample) =>
      sample.processes > processes && nowMs - sample.atMs <= MEMORY_MS
    );
    this.#samples.push({ processes, atMs: nowMs });
  }

  /** The largest number of the last 10 s; undefined until it is settled. */
  largest(nowMs: number): number | undefined {
    const isSettled = this.#heardAtMs !== undefined &&
      nowMs - this.#heardAtMs >= SETTLE_MS;
    return isSettled ? this.#samples[0]?.processes : undefined;
  }
}
