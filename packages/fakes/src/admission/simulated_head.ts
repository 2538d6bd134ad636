/** A request at a simulated head. */
export interface SimulatedWork {
  readonly tokens: number;
  readonly priority: number;
  readonly onFirstToken: (nowMs: number) => void;
  readonly onDone: (nowMs: number) => void;
  /** Whether the caller has left. */
  isAbandoned: boolean;
}

interface Running {
  readonly work: SimulatedWork;
  prefillMs: number;
  tokens: number;
}

/** Engine timings of the deployments: a step takes longer with each request. */
const STEP_MS = 6.2;
const STEP_PER_REQUEST_MS = 0.34;
const PREFILL_MS = 20;

/** The head of a replica; its step time grows with its batch size. */
export class SimulatedHead {
  readonly slots: number;
  readonly #queueLength: number;
  #running: Running[] = [];
  #waiting: SimulatedWork[] = [];
  isDown = false;

  constructor(slots: number, queueLength: number) {
    this.slots = slots;
    this.#queueLength = queueLength;
  }

  get load() {
    return {
      running: this.#running.length,
      waiting: this.#waiting.length,
      slots: this.slots,
    };
  }

  /** Accepts a request; returns false if all slots and the queue are full. */
  tryAccept(work: SimulatedWork): boolean {
    if (this.#running.length < this.slots) this.#run(work);
    else if (this.#waiting.length < this.#queueLength) this.#waiting.push(work);
    else return false;
    return true;
  }

  /** Advances all requests by the elapsed time. */
  advance(elapsedMs: number, nowMs: number): void {
    const tokens = elapsedMs / stepMs(this.#running.length);
    for (const one of this.#running) {
      one.prefillMs -= elapsedMs;
      if (one.prefillMs > 0) continue;
      const isFirst = one.tokens === 0;
      one.tokens += tokens;
      if (isFirst) one.work.onFirstToken(nowMs);
      if (one.tokens >= one.work.tokens) one.work.onDone(nowMs);
    }
    this.#running = this.#running.filter(({ tokens, work }) =>
      tokens < work.tokens && !work.isAbandoned
    );
    this.#waiting = this.#waiting.filter(({ isAbandoned }) => !isAbandoned);
    while (this.#running.length < this.slots && this.#waiting.length > 0) {
      const next = this.#waiting.reduce((best, work) =>
        work.priority < best.priority ? work : best
      );
      this.#waiting.splice(this.#waiting.indexOf(next), 1);
      this.#run(next);
    }
  }

  #run(work: SimulatedWork): void {
    this.#running.push({ work, prefillMs: PREFILL_MS, tokens: 0 });
  }
}

/** Tokens that a head with all slots taken generates in the elapsed time. */
export function tokensWithin(elapsedMs: number, slots: number): number {
  return elapsedMs * slots / stepMs(slots);
}

function stepMs(running: number): number {
  return STEP_MS + STEP_PER_REQUEST_MS * running;
}
