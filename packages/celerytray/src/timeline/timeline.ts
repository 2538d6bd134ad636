import { HybridClock, type HybridTimestamp } from "./hybrid_clock.ts";

/** What an event says, beside its kind. */
export interface TimelineFields {
  readonly requestId?: string;
  readonly replicaId?: string;
  readonly instanceId?: string;
  readonly detail?: string;
}

/** One event of one process. */
export interface TimelineEvent extends TimelineFields {
  readonly at: HybridTimestamp;
  /** Process that recorded it. */
  readonly process: string;
  readonly kind: string;
}

/** Options of a time line. */
export interface TimelineOptions {
  readonly process: string;
  readonly capacityEvents?: number;
}

const DEFAULT_CAPACITY_EVENTS = 10_000;

/** Keeps the latest events of this process. */
export class Timeline {
  readonly clock = new HybridClock();
  /** Learns of each event. */
  onRecord: (event: TimelineEvent) => void = () => {};
  readonly #process: string;
  readonly #capacity: number;
  #events: TimelineEvent[] = [];

  constructor(options: TimelineOptions) {
    this.#process = options.process;
    this.#capacity = options.capacityEvents ?? DEFAULT_CAPACITY_EVENTS;
  }

  /** Records an event at a time. */
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

  /** The latest events, oldest first. */
  latest(): readonly TimelineEvent[] {
    return this.#events.slice(-this.#capacity);
  }
}
