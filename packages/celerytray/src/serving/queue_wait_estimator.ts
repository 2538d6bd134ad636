import type { InstanceLoad } from "./call.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** Weight of the newest service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Wait by which a queue may have grown per millisecond since its last report. */
const GROWTH_MS_PER_MS = 1;

/** A request that was sent to an instance and has not started. */
export interface QueuedRequest {
  readonly instanceId: string;
  readonly model: string;
  readonly sentAtMs: number;
}

/** Estimates how long requests wait in the queues of instances. */
export class QueueWaitEstimator {
  readonly #loads: LoadTracker;
  readonly #serviceMs = new Map<string, number>();

  constructor(loads: LoadTracker) {
    this.#loads = loads;
  }

  /** Records the time from the start of a stream to its end. */
  noteServed(model: string, serviceMs: number): void {
    const meanMs = this.#serviceMs.get(model) ?? serviceMs;
    this.#serviceMs.set(
      model,
      meanMs + (serviceMs - meanMs) * SERVICE_TIME_WEIGHT,
    );
  }

  /** Mean time for which a request occupies a slot; 0 while unknown. */
  meanServiceMs(model: string): number {
    return this.#serviceMs.get(model) ?? 0;
  }

  /**
   * Returns the time that a request is expected to wait in the queue of its
   * instance; undefined if the instance last reported free slots, or nothing.
   *
   * A queue may have grown between its last report and the sending of the
   * request: with 62 processes, each gets a report from a head only every few
   * seconds.
   */
  expectedWaitMs(
    { instanceId, model, sentAtMs }: QueuedRequest,
    nowMs: number,
  ): number | undefined {
    const load = this.#loads.reportedLoad(instanceId, nowMs);
    if (load === undefined) return undefined;
    const waitMs = estimateWaitMs(load, this.meanServiceMs(model));
    if (waitMs === undefined) return undefined;
    const unreportedMs = Math.max(0, sentAtMs - load.reportedAtMs);
    return waitMs + unreportedMs * GROWTH_MS_PER_MS;
  }
}

/** Time until a request that arrives at this load starts; undefined with free slots. */
export function estimateWaitMs(
  { running, waiting, slots }: InstanceLoad,
  meanServiceMs: number,
): number | undefined {
  if (running + waiting < slots) return undefined;
  return waiting / slots * meanServiceMs;
}
