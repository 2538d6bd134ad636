import { HybridClock, type HybridTimestamp } from "./hybrid_clock.ts";

/** Fields of an event in addition to its kind. */
export interface TimelineFields {
  readonly requestId?: string;
  readonly replicaId?: string;
  readonly instanceId?: string;
  readonly detail?: string;
}

/** An event that a process recorded. */
export interface TimelineEvent extends TimelineFields {
  readonly at: HybridTimestamp;
  /** Process that recorded the event. */
  readonly process: string;
  readonly kind: string;
}

/** Options of a timeline. */
export interface TimelineOptions {
  readonly process: string;
  readonly capacityEvents?: number;
}

const DEFAULT_CAPACITY_EVENTS = 10_000;

/** Buffer of the latest events of this process. */
export class Timeline {
  readonly clock = new HybridClock();
  /** Called with each recorded event. */
  onRecord: (event: TimelineEvent) => void = () => {};
  readonly #process: string;
  readonly #capacity: number;
  #events: TimelineEvent[] = [];

  constructor(options: TimelineOptions) {
    this.#process = options.process;
    this.#capacity = options.capacityEvents ?? DEFAULT_CAPACITY_EVENTS;
  }

  record(
    kind: string,
    options: TimelineFields & { readonly nowMs: number },
  ): void {
    const { nowMs, ...fields } = options;
    const at = this.clock.next(nowMs);
    const event = { at, process: this.#process, kind, ...fields };
    this.#events.push(event);
    this.onRecord(event);
    if (this.#events.length > 2 * this.#capacity) {
      this.#events = this.#events.slice(-this.#capacity);
    }
  }

  /** Returns the latest events, oldest first. */
  latest(): readonly TimelineEvent[] {
    return this.#events.slice(-this.#capacity);
  }
}
