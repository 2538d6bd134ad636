/** Options of a limit on loads from the weight store. */
export interface LoadLimitOptions {
  readonly loadsPerSecond: number;
  /** Loads that began elsewhere in the window before, at most. */
  readonly assumedLoads: number;
  readonly nowMs: number;
}

const WINDOW_MS = 5_000;
/** Part of the allowed rate that is used; late orders take the rest. */
const USED_PART = 0.8;

/** Holds the loads that begin in a sliding window to a rate. */
export class LoadLimit {
  readonly #maxLoads: number;
  #begunAtMs: number[];

  constructor(options: LoadLimitOptions) {
    this.#maxLoads = Math.max(
      1,
      Math.floor(options.loadsPerSecond * (WINDOW_MS / 1000) * USED_PART),
    );
    this.#begunAtMs = new Array(options.assumedLoads).fill(options.nowMs);
  }

  /** Counts a load, if one may begin now. */
  tryBegin(nowMs: number): boolean {
    this.#begunAtMs = this.#begunAtMs.filter((atMs) =>
      nowMs - atMs < WINDOW_MS
    );
    if (this.#begunAtMs.length >= this.#maxLoads) return false;
    this.#begunAtMs.push(nowMs);
    return true;
  }
}
