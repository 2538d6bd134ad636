import type { InstanceLoad } from "./call.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** Weight of the newest service time in the mean. */
const SERVICE_WEIGHT = 0.1;

/** Wait by which a queue may have grown in each millisecond since it was told. */
const GROWTH_MS_PER_MS = 1;

/** A request that waits for an instance. */
export interface QueuedRequest {
  readonly instanceId: string;
  readonly model: string;
  readonly sentAtMs: number;
}

/** How long the queues of instances explain that requests don't start. */
export class QueueWaitEstimator {
  readonly #loads: LoadTracker;
  readonly #serviceMs = new Map<string, number>();

  constructor(loads: LoadTracker) {
    this.#loads = loads;
  }

  /** Takes note of the time from the start of a stream to its end. */
  noteServed(model: string, serviceMs: number): void {
    const usualMs = this.#serviceMs.get(model) ?? serviceMs;
    this.#serviceMs.set(
      model,
      usualMs + (serviceMs - usualMs) * SERVICE_WEIGHT,
    );
  }

  /** Mean time for which a request takes a slot; 0 while unknown. */
  usualServiceMs(model: string): number {
    return this.#serviceMs.get(model) ?? 0;
  }

  /**
   * Time for which the queue of an instance explains that a request does not
   * start; undefined where the instance last told of free slots or nothing.
   *
   * A queue that was told some time before the request was sent may have grown
   * meanwhile: with 62 processes each hears of a head every few seconds only.
   */
  expectedWaitMs(
    { instanceId, model, sentAtMs }: QueuedRequest,
    nowMs: number,
  ): number | undefined {
    const load = this.#loads.toldLoad(instanceId, nowMs);
    if (load === undefined) return undefined;
    const waitMs = explainedWaitMs(load, this.usualServiceMs(model));
    if (waitMs === undefined) return undefined;
    const unseenMs = Math.max(0, sentAtMs - load.toldAtMs);
    return waitMs + unseenMs * GROWTH_MS_PER_MS;
  }
}

/** Time until a request that arrives at a load starts; undefined with free slots. */
export function explainedWaitMs(
  { running, waiting, slots }: InstanceLoad,
  usualServiceMs: number,
): number | undefined {
  if (running + waiting < slots) return undefined;
  return waiting / slots * usualServiceMs;
}
