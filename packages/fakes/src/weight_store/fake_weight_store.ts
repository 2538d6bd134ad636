/** Options of a stand-in weight store. */
export interface FakeWeightStoreOptions {
  /** Time of one load that has its full rate. */
  readonly loadMs: number;
  /** Loads that get their full rate at once; more share it. */
  readonly fullRateLoads?: number;
}

interface RunningLoad {
  fraction: number;
}

/** Weights at a limited rate, shared by the loads that run. */
export class FakeWeightStore {
  readonly #loadMs: number;
  readonly #fullRateLoads: number;
  readonly #loads = new Map<string, RunningLoad>();
  #advancedAtMs = 0;
  #isOut = false;

  constructor(options: FakeWeightStoreOptions) {
    this.#loadMs = options.loadMs;
    this.#fullRateLoads = options.fullRateLoads ?? Number.POSITIVE_INFINITY;
  }

  /** Starts a reader's load anew. */
  start(reader: string, nowMs: number): void {
    this.#advance(nowMs);
    this.#loads.set(reader, { fraction: 0 });
  }

  /** Ends a reader's load, for example at the reader's death. */
  stop(reader: string, nowMs: number): void {
    this.#advance(nowMs);
    this.#loads.delete(reader);
  }

  /** Part that a reader has loaded; 1 without a load. */
  fraction(reader: string, nowMs: number): number {
    this.#advance(nowMs);
    return this.#loads.get(reader)?.fraction ?? 1;
  }

  /** Starts or ends an outage, in which no load makes progress. */
  setOutage(isOut: boolean, nowMs: number): void {
    this.#advance(nowMs);
    this.#isOut = isOut;
  }

  /** Progress between two calls, with the loads that ran at its start. */
  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#advancedAtMs);
    this.#advancedAtMs = Math.max(nowMs, this.#advancedAtMs);
    if (this.#isOut || elapsedMs === 0) return;
    const share = Math.min(1, this.#fullRateLoads / this.#loads.size);
    for (const [reader, load] of this.#loads) {
      load.fraction += elapsedMs * share / this.#loadMs;
      if (load.fraction >= 1 - ROUNDING) this.#loads.delete(reader);
    }
  }
}

const ROUNDING = 1e-9;
