import { RateAdmission, SlotAdmission, type SlotTicket } from "celerytray";

/** A request of the offered load. */
export interface OfferedRequest {
  readonly organisationName: string;
  readonly weight: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Decides which requests get a slot of the server, and when. */
export interface AdmissionPolicy {
  /** Offers a request on arrival; false if it is refused. */
  offer(request: OfferedRequest, nowMs: number): boolean;
  /** Returns the requests to start now, at most one for each free slot. */
  startNext(nowMs: number): OfferedRequest[];
  /** Releases the slot of a request. */
  finish(
    request: OfferedRequest,
    timing: { readonly nowMs: number; readonly firstTokenMs: number },
  ): void;
}

const CLIENT_TIMEOUT_MS = 2_000;

/** An unbounded FIFO queue; a request that waited past the timeout is dropped. */
export class FifoPolicy implements AdmissionPolicy {
  readonly #slotCount: number;
  readonly #timeoutMs: number;
  readonly #queue: OfferedRequest[] = [];
  #nextIndex = 0;
  #runningCount = 0;

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
    while (this.#runningCount < this.#slotCount) {
      const request = this.#queue[this.#nextIndex];
      if (request === undefined) break;
      this.#nextIndex += 1;
      if (nowMs - request.arrivedAtMs > this.#timeoutMs) continue;
      this.#runningCount += 1;
      started.push(request);
    }
    return started;
  }

  finish(): void {
    this.#runningCount -= 1;
  }
}

/** Creates a FIFO queue whose callers give up after 2 s. */
export function createTimeoutPolicy(slotCount: number): AdmissionPolicy {
  return new FifoPolicy({ slotCount, timeoutMs: CLIENT_TIMEOUT_MS });
}

/** A token bucket at the server's nominal rate, in front of a FIFO queue. */
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

/** The library's slot admission, without its Effect wrapper. */
export class SlotPolicy implements AdmissionPolicy {
  readonly #slots: SlotAdmission;
  readonly #tickets = new Map<OfferedRequest, SlotTicket>();
  readonly #requests = new Map<SlotTicket, OfferedRequest>();
  readonly #startedOnOffer: OfferedRequest[] = [];

  constructor(options: { readonly slotCount: number }) {
    this.#slots = new SlotAdmission({ slotCount: () => options.slotCount });
  }

  offer(request: OfferedRequest, nowMs: number): boolean {
    const offered = this.#slots.offer({ ...request, priority: 0, nowMs });
    offered.ifRight((ticket) => {
      this.#tickets.set(request, ticket);
      this.#requests.set(ticket, request);
      if (ticket.startedAtMs !== undefined) this.#startedOnOffer.push(request);
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
    return [...this.#startedOnOffer.splice(0), ...requests];
  }

  finish(
    request: OfferedRequest,
    timing: { readonly nowMs: number; readonly firstTokenMs: number },
  ): void {
    const ticket = this.#tickets.get(request)!;
    this.#slots.finish(ticket, timing);
    this.#tickets.delete(request);
    this.#requests.delete(ticket);
  }
}
