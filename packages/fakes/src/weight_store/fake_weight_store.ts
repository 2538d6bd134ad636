/** Options of a fake weight store. */
export interface FakeWeightStoreOptions {
  /** Time of one load at the full rate. */
  readonly loadMs: number;
  /** Number of loads that run at the full rate; with more, all share that total rate. */
  readonly fullRateLoads?: number;
}

interface RunningLoad {
  fraction: number;
}

/** A store whose limited rate is shared by the running loads. */
export class FakeWeightStore {
  readonly #loadMs: number;
  readonly #fullRateLoads: number;
  readonly #loads = new Map<string, RunningLoad>();
  #advancedAtMs = 0;
  #hasOutage = false;

  constructor(options: FakeWeightStoreOptions) {
    this.#loadMs = options.loadMs;
    this.#fullRateLoads = options.fullRateLoads ?? Number.POSITIVE_INFINITY;
  }

  /** Starts a reader's load, or restarts it from 0. */
  start(reader: string, nowMs: number): void {
    this.#advanceLoads(nowMs);
    this.#loads.set(reader, { fraction: 0 });
  }

  /** Ends a reader's load, for example when the reader's process ends. */
  stop(reader: string, nowMs: number): void {
    this.#advanceLoads(nowMs);
    this.#loads.delete(reader);
  }

  /** Returns the fraction that a reader has loaded, 0 to 1; 1 if no load runs. */
  fraction(reader: string, nowMs: number): number {
    this.#advanceLoads(nowMs);
    return this.#loads.get(reader)?.fraction ?? 1;
  }

  /** Starts or ends an outage, during which no load makes progress. */
  setOutage(isOut: boolean, nowMs: number): void {
    this.#advanceLoads(nowMs);
    this.#hasOutage = isOut;
  }

  /**
   * Adds the progress since the last call; the rate is shared by the loads that
   * run now.
   */
  #advanceLoads(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#advancedAtMs);
    this.#advancedAtMs = Math.max(nowMs, this.#advancedAtMs);
    if (this.#hasOutage || elapsedMs === 0) return;
    const share = Math.min(1, this.#fullRateLoads / this.#loads.size);
    for (const [reader, load] of this.#loads) {
      load.fraction += elapsedMs * share / this.#loadMs;
      if (load.fraction >= 1 - ROUNDING_TOLERANCE) this.#loads.delete(reader);
    }
  }
}

const ROUNDING_TOLERANCE = 1e-9;
