/** A pause between two events of a stream. */
export interface StreamPause {
  readonly instanceId: string;
  /** Epoch of the replica that it heads. */
  readonly epoch: number;
  readonly model: string;
  readonly pauseMs: number;
  readonly nowMs: number;
}

interface Pace {
  readonly epoch: number;
  readonly model: string;
  pauseMs: number;
  pauses: number;
  atMs: number;
}

/** Weight of the newest pause in the moving average. */
const PAUSE_WEIGHT = 0.12;
/** Minimum number of pauses for a meaningful average. */
const MIN_PAUSES = 4;
/**
 * Time without events after which an instance's average is discarded, so that a
 * slow instance gets requests again.
 */
const PACE_VALID_MS = 3_000;
/** Ratio to the model's median pause from which an instance counts as slow. */
const SLOW_RATIO = 2.5;

/** Average pause between stream events, by instance, to find slow instances. */
export class PaceTracker {
  readonly #paces = new Map<string, Pace>();

  notePause({ instanceId, epoch, model, pauseMs, nowMs }: StreamPause): void {
    const pace = this.#paces.get(instanceId);
    if (pace?.epoch !== epoch || nowMs - pace.atMs >= PACE_VALID_MS) {
      this.#paces.set(instanceId, {
        epoch,
        model,
        pauseMs,
        pauses: 1,
        atMs: nowMs,
      });
      return;
    }
    pace.pauseMs += (pauseMs - pace.pauseMs) * PAUSE_WEIGHT;
    pace.pauses += 1;
    pace.atMs = nowMs;
  }

  /** Ratio of the instance's average pause to its model's median; 1 if unknown. */
  slowness(instanceId: string, nowMs: number): number {
    const pace = this.#paces.get(instanceId);
    if (pace === undefined || !isKnown(pace, nowMs)) return 1;
    return pace.pauseMs / this.#medianPauseMs(pace.model, nowMs);
  }

  /** Whether an instance is slow as the head of the replica of this epoch. */
  isSlow(
    { instanceId, epoch }: Pick<StreamPause, "instanceId" | "epoch">,
    nowMs: number,
  ): boolean {
    return this.#paces.get(instanceId)?.epoch === epoch &&
      this.slowness(instanceId, nowMs) >= SLOW_RATIO;
  }

  /** Returns the ids of slow instances. */
  listSlow(nowMs: number): readonly string[] {
    const known = [...this.#paces].filter(([, pace]) => isKnown(pace, nowMs));
    const models = new Set(known.map(([, { model }]) => model));
    const medianMs = new Map(
      [...models].map((model) => [model, this.#medianPauseMs(model, nowMs)]),
    );
    return known
      .filter(([, { model, pauseMs }]) =>
        pauseMs / medianMs.get(model)! >= SLOW_RATIO
      )
      .map(([instanceId]) => instanceId);
  }

  /** Removes instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#paces.keys()) {
      if (!isPresent(instanceId)) this.#paces.delete(instanceId);
    }
  }

  /** Median pause of a model's instances, at least 1. */
  #medianPauseMs(model: string, nowMs: number): number {
    const pauses = [...this.#paces.values()]
      .filter((pace) => pace.model === model && isKnown(pace, nowMs))
      .map(({ pauseMs }) => pauseMs)
      .sort((a, b) => a - b);
    return Math.max(1, pauses[Math.floor((pauses.length - 1) / 2)] ?? 1);
  }
}

function isKnown({ pauses, atMs }: Pace, nowMs: number): boolean {
  return pauses >= MIN_PAUSES && nowMs - atMs < PACE_VALID_MS;
}
