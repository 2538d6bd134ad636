import { RateAdmission, SlotAdmission, type SlotTicket } from "celerytray";

/** A request of the load. */
export interface OfferedRequest {
  readonly organisationName: string;
  readonly weight: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** What decides which request gets a slot of the server. */
export interface AdmissionPolicy {
  /** False if the request is refused at once. */
  offer(request: OfferedRequest, nowMs: number): boolean;
  /** Requests to start now, for as many slots as are free. */
  startNext(nowMs: number): OfferedRequest[];
  finish(
    request: OfferedRequest,
    end: { readonly nowMs: number; readonly firstTokenMs: number },
  ): void;
}

const CLIENT_TIMEOUT_MS = 2_000;

/** First come, first served, without a bound. */
export class FifoPolicy implements AdmissionPolicy {
  readonly #slotCount: number;
  readonly #timeoutMs: number;
  readonly #queue: OfferedRequest[] = [];
  #head = 0;
  #running = 0;

  constructor(
    options: { readonly slotCount: number; readonly timeoutMs?: number },
  ) {
    this.#slotCount = options.slotCount;
    this.#timeoutMs = options.timeoutMs ?? Infinity;
  }

  offer(request: OfferedRequest, _nowMs: number): boolean {
    this.#queue.push(request);
    return true;
  }

  startNext(nowMs: number): OfferedRequest[] {
    const started: OfferedRequest[] = [];
    while (this.#running < this.#slotCount) {
      const request = this.#queue[this.#head];
      if (request === undefined) break;
      this.#head += 1;
      if (nowMs - request.arrivedAtMs > this.#timeoutMs) continue;
      this.#running += 1;
      started.push(request);
    }
    return started;
  }

  finish(): void {
    this.#running -= 1;
  }
}

/** The queue that callers leave after their timeout. */
export function createTimeoutPolicy(slotCount: number): AdmissionPolicy {
  return new FifoPolicy({ slotCount, timeoutMs: CLIENT_TIMEOUT_MS });
}

/** A token bucket at the server's nominal rate before the queue. */
export class TokenBucketPolicy extends FifoPolicy {
  readonly #bucket = new RateAdmission({ shareOf: () => 1 });
  readonly #requestsPerSecond: number;

  constructor(
    options: { readonly slotCount: number; readonly requestsPerSecond: number },
  ) {
    super(options);
    this.#requestsPerSecond = options.requestsPerSecond;
  }

  override offer(request: OfferedRequest, nowMs: number): boolean {
    const admitted = this.#bucket.admit({
      organisationName: "all",
      organisation: {
        apiKeySha256: [],
        services: [],
        requestsPerSecond: this.#requestsPerSecond,
      },
      nowMs,
    });
    return admitted.isRight() && super.offer(request, nowMs);
  }
}

/** The library's slots, without its Effect wrapper. */
export class SlotPolicy implements AdmissionPolicy {
  readonly #slots: SlotAdmission;
  readonly #tickets = new Map<OfferedRequest, SlotTicket>();
  readonly #requests = new Map<SlotTicket, OfferedRequest>();
  readonly #justStarted: OfferedRequest[] = [];

  constructor(options: { readonly slotCount: number }) {
    this.#slots = new SlotAdmission({ slotCount: () => options.slotCount });
  }

  offer(request: OfferedRequest, nowMs: number): boolean {
    const offered = this.#slots.offer({ ...request, priority: 0, nowMs });
    offered.ifRight((ticket) => {
      this.#tickets.set(request, ticket);
      this.#requests.set(ticket, request);
      if (ticket.startedAtMs !== undefined) this.#justStarted.push(request);
    });
    return offered.isRight();
  }

  startNext(nowMs: number): OfferedRequest[] {
    const { started, refused } = this.#slots.startNext(nowMs);
    for (const ticket of refused) {
      this.#tickets.delete(this.#requests.get(ticket)!);
      this.#requests.delete(ticket);
    }
    const requests = started.map((ticket) => this.#requests.get(ticket)!);
    return [...this.#justStarted.splice(0), ...requests];
  }

  finish(
    request: OfferedRequest,
    end: { readonly nowMs: number; readonly firstTokenMs: number },
  ): void {
    const ticket = this.#tickets.get(request)!;
    this.#slots.finish(ticket, end);
    this.#tickets.delete(request);
    this.#requests.delete(ticket);
  }
}
