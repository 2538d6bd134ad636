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
export class PaceBook {
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
    const pauses = [...this.#paces.values()]
      .filter((other) => other.model === pace.model && isKnown(other, nowMs))
      .map(({ pauseMs }) => pauseMs)
      .sort((a, b) => a - b);
    const medianMs = pauses[Math.floor((pauses.length - 1) / 2)]!;
    return pace.pauseMs / Math.max(1, medianMs);
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
    return [...this.#paces.keys()].filter((id) =>
      this.slowness(id, nowMs) >= SLOW_RATIO
    );
  }

  /** Forgets instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#paces.keys()) {
      if (!isPresent(instanceId)) this.#paces.delete(instanceId);
    }
  }
}

function isKnown({ pauses, atMs }: Pace, nowMs: number): boolean {
  return pauses >= LEAST_PAUSES && nowMs - atMs < MEMORY_MS;
}
