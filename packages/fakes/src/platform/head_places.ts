import type { ServerResponse } from "node:http";

/** Work that the head of a replica takes, and how it bounds its connections. */
export interface HeadLimits {
  /** Requests that run concurrently. */
  readonly slots: number;
  /** Requests that wait at most; further ones are rejected. */
  readonly maxWaiting: number;
  /** Connections that it accepts while nothing waits. */
  readonly maxConnections: number;
  /** Connections that it accepts less for each request that waits. */
  readonly connectionsPerWaiting: number;
}

/** The slots and the queue of a head. */
export class HeadPlaces {
  readonly #limits: HeadLimits;
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  constructor(limits: HeadLimits) {
    this.#limits = limits;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Whether a request would find neither a slot nor a place in the queue. */
  get isFull(): boolean {
    const { slots, maxWaiting } = this.#limits;
    return this.#running >= slots && this.#waiting.length >= maxWaiting;
  }

  /** Connections that it accepts now, from all callers combined. */
  get maxConnections(): number {
    const { slots, maxConnections, connectionsPerWaiting } = this.#limits;
    const fewer = connectionsPerWaiting * this.#waiting.length;
    return Math.max(slots, maxConnections - fewer);
  }

  /** Running and waiting requests and slots, as in the header. */
  describe(): string {
    return [this.#running, this.#waiting.length, this.#limits.slots].join();
  }

  /**
   * Waits for a slot; returns whether it got one, and `leave` must follow then.
   * A request whose connection closes leaves the queue.
   */
  enter(response: ServerResponse): Promise<boolean> {
    if (this.#running < this.#limits.slots) {
      this.#running += 1;
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const takeSlot = () => resolve(true);
      this.#waiting.push(takeSlot);
      response.once("close", () => {
        const index = this.#waiting.indexOf(takeSlot);
        if (index >= 0) this.#waiting.splice(index, 1);
        resolve(false);
      });
    });
  }

  /** Passes the slot on to the request that has waited longest. */
  leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}
