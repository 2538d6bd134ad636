/** Options of a demand meter. */
export interface DemandMeterOptions {
  /** Called once per interval with each organisation's rate. */
  readonly onRate: (
    organisationName: string,
    requestsPerSecond: number,
  ) => void;
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;
const SMOOTHING = 0.5;
const MIN_RATE = 0.01;

/**
 * Measures the request rate of each organisation, whether or not requests are
 * admitted.
 */
export class DemandMeter {
  readonly #options: DemandMeterOptions;
  readonly #counts = new Map<string, number>();
  readonly #rates = new Map<string, number>();
  #startedAtMs: number | undefined;

  constructor(options: DemandMeterOptions) {
    this.#options = options;
  }

  noteOffered(organisationName: string, nowMs: number): void {
    this.#startedAtMs ??= nowMs;
    const { intervalMs = DEFAULT_INTERVAL_MS } = this.#options;
    const elapsedMs = nowMs - this.#startedAtMs;
    if (elapsedMs >= intervalMs) this.#endInterval(elapsedMs, nowMs);
    const count = this.#counts.get(organisationName) ?? 0;
    this.#counts.set(organisationName, count + 1);
  }

  #endInterval(elapsedMs: number, nowMs: number): void {
    this.#startedAtMs = nowMs;
    for (
      const name of new Set([...this.#rates.keys(), ...this.#counts.keys()])
    ) {
      const count = this.#counts.get(name) ?? 0;
      const measured = count * MS_PER_SECOND / elapsedMs;
      const previous = this.#rates.get(name) ?? measured;
      const rate = previous + (measured - previous) * SMOOTHING;
      if (rate < MIN_RATE) this.#rates.delete(name);
      else this.#rates.set(name, rate);
      this.#options.onRate(name, rate < MIN_RATE ? 0 : rate);
    }
    this.#counts.clear();
  }
}
