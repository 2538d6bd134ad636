/** Weight of the newest time in the moving averages. */
const EWMA_WEIGHT = 0.02;
/** Minimum number of times for a meaningful bound. */
const MIN_TIMES = 20;
/** Mean deviations above the mean that cover nearly all times. */
const BOUND_DEVIATIONS = 3;

interface Average {
  meanMs: number;
  deviationMs: number;
  times: number;
}

/**
 * What a stream waits for: its first event, counted from sending, or the event
 * that follows another one.
 */
export type AwaitedEvent = "first" | "next";

/** An observed time until an event of a stream. */
export interface ObservedSilence {
  readonly model: string;
  readonly awaited: AwaitedEvent;
  readonly silentMs: number;
}

/** How long the streams of each model usually wait for an event. */
export class SilenceStats {
  readonly #averages = new Map<string, Average>();

  note({ model, awaited, silentMs }: ObservedSilence): void {
    const key = `${awaited} ${model}`;
    const average = this.#averages.get(key);
    if (average === undefined) {
      this.#averages.set(key, {
        meanMs: silentMs,
        deviationMs: silentMs / 2,
        times: 1,
      });
      return;
    }
    const error = silentMs - average.meanMs;
    average.meanMs += error * EWMA_WEIGHT;
    average.deviationMs += (Math.abs(error) - average.deviationMs) *
      EWMA_WEIGHT;
    average.times += 1;
  }

  /** Silence that few events of a model exceed; undefined if not known yet. */
  usualMaxMs(model: string, awaited: AwaitedEvent): number | undefined {
    const average = this.#averages.get(`${awaited} ${model}`);
    if (average === undefined || average.times < MIN_TIMES) return undefined;
    return average.meanMs + average.deviationMs * BOUND_DEVIATIONS;
  }
}
