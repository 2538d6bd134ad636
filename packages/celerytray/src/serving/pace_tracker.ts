/** A pause between two parts of a stream. */
export interface NotedPause {
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

/** Weight of the newest pause in the mean. */
const PAUSE_WEIGHT = 0.12;
/** Pauses from which on a mean counts. */
const LEAST_PAUSES = 4;
/** Time after which an instance that sent nothing gets another chance. */
const MEMORY_MS = 3_000;
/** How many times as long as usual pauses last at a slow instance. */
const SLOW_RATIO = 2.5;

/** Pauses inside the streams of each instance, against others of its model. */
export class PaceTracker {
  readonly #paces = new Map<string, Pace>();

  notePause({ instanceId, epoch, model, pauseMs, nowMs }: NotedPause): void {
    const pace = this.#paces.get(instanceId);
    if (pace?.epoch !== epoch || nowMs - pace.atMs >= MEMORY_MS) {
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

  /** How many times as long its pauses are as those of its model's median. */
  slowness(instanceId: string, nowMs: number): number {
    const pace = this.#paces.get(instanceId);
    if (pace === undefined || !isKnown(pace, nowMs)) return 1;
    return pace.pauseMs / this.#usualPauseMs(pace.model, nowMs);
  }

  /** Whether requests for a replica are better off elsewhere. */
  isSlow(
    { instanceId, epoch }: Pick<NotedPause, "instanceId" | "epoch">,
    nowMs: number,
  ): boolean {
    return this.#paces.get(instanceId)?.epoch === epoch &&
      this.slowness(instanceId, nowMs) >= SLOW_RATIO;
  }

  /** Instances at which requests are better off elsewhere. */
  listSlow(nowMs: number): readonly string[] {
    const known = [...this.#paces].filter(([, pace]) => isKnown(pace, nowMs));
    const models = new Set(known.map(([, { model }]) => model));
    const usualMs = new Map(
      [...models].map((model) => [model, this.#usualPauseMs(model, nowMs)]),
    );
    return known
      .filter(([, { model, pauseMs }]) =>
        pauseMs / usualMs.get(model)! >= SLOW_RATIO
      )
      .map(([instanceId]) => instanceId);
  }

  /** Forgets instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#paces.keys()) {
      if (!isPresent(instanceId)) this.#paces.delete(instanceId);
    }
  }

  /** Median of the known pauses of a model's instances, 1 at least. */
  #usualPauseMs(model: string, nowMs: number): number {
    const pauses = [...this.#paces.values()]
      .filter((pace) => pace.model === model && isKnown(pace, nowMs))
      .map(({ pauseMs }) => pauseMs)
      .sort((a, b) => a - b);
    return Math.max(1, pauses[Math.floor((pauses.length - 1) / 2)] ?? 1);
  }
}

function isKnown({ pauses, atMs }: Pace, nowMs: number): boolean {
  return pauses >= LEAST_PAUSES && nowMs - atMs < MEMORY_MS;
}
