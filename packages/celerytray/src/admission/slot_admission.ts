import { type Either, Left, Right } from "purify-ts";
import { FairQueue, type QueuedTicket } from "./fair_queue.ts";
import { AdmissionRefused } from "./rate_admission.ts";

/** A request for a slot of a service. */
export interface SlotRequest {
  readonly organisationName: string;
  readonly weight: number;
  readonly priority: number;
  /**
   * Time from which the first token is of no use; Infinity if there is none.
   */
  readonly deadlineAtMs: number;
  readonly nowMs: number;
}

/** State of a request: running, or waiting for a slot. */
export interface SlotTicket extends QueuedTicket {
  readonly deadlineAtMs: number;
  startedAtMs: number | undefined;
}

/** Options of a service's slots at one entry instance. */
export interface SlotAdmissionOptions {
  /** Number of requests that may run at once. */
  readonly slotCount: () => number;
  readonly maxQueued?: number;
  /** Initial estimates, until requests have ended. */
  readonly initialServiceMs?: number;
  readonly initialFirstTokenMs?: number;
}

const DEFAULT_MAX_QUEUED = 1_000;
const DEFAULT_SERVICE_MS = 1_000;
const DEFAULT_FIRST_TOKEN_MS = 0;
const SMOOTHING = 0.02;
const MIN_RETRY_AFTER_MS = 100;
/** Factor on the estimated wait, so that fewer requests wait in vain. */
const WAIT_MARGIN_FACTOR = 1.25;

/**
 * Assigns a service's slots fairly among organisations and refuses at once any
 * request that would wait past its deadline.
 */
export class SlotAdmission {
  readonly #options: SlotAdmissionOptions;
  readonly #queue = new FairQueue<SlotTicket>();
  readonly #maxQueued: number;
  #running = 0;
  #nextTicketId = 0;
  #serviceMs: number;
  #firstTokenMs: number;

  constructor(options: SlotAdmissionOptions) {
    this.#options = options;
    this.#maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
    this.#serviceMs = options.initialServiceMs ?? DEFAULT_SERVICE_MS;
    this.#firstTokenMs = options.initialFirstTokenMs ?? DEFAULT_FIRST_TOKEN_MS;
  }

  get running(): number {
    return this.#running;
  }

  get queued(): number {
    return this.#queue.size;
  }

  /** Returns a ticket that runs or waits, or the refusal. */
  offer(request: SlotRequest): Either<AdmissionRefused, SlotTicket> {
    const { nowMs, deadlineAtMs } = request;
    const ticket = this.#createTicket(request);
    if (this.#queue.size === 0 && this.#hasFreeSlot()) {
      return Right(this.#start(ticket, nowMs));
    }
    const waitMs = this.#estimateWait(request);
    if (this.#queue.size >= this.#maxQueued) {
      return Left(createRefusal("The queue is full", waitMs));
    }
    const latenessMs = nowMs + waitMs * WAIT_MARGIN_FACTOR +
      this.#firstTokenMs - deadlineAtMs;
    if (latenessMs > 0) {
      return Left(
        createRefusal("The first token would come too late", latenessMs),
      );
    }
    this.#queue.add(ticket);
    return Right(ticket);
  }

  /**
   * Starts waiting requests while slots are free; refuses those that are too
   * late.
   */
  startNext(
    nowMs: number,
  ): { readonly started: SlotTicket[]; readonly refused: SlotTicket[] } {
    const started: SlotTicket[] = [];
    const refused: SlotTicket[] = [];
    while (this.#hasFreeSlot()) {
      const ticket = this.#queue.peek();
      if (ticket === undefined) break;
      if (nowMs > this.findLatestStart(ticket)) {
        this.#queue.remove(ticket);
        refused.push(ticket);
        continue;
      }
      this.#queue.take();
      started.push(this.#start(ticket, nowMs));
    }
    return { started, refused };
  }

  /** Frees a running request's slot. */
  finish(
    ticket: SlotTicket,
    end: { readonly nowMs: number; readonly firstTokenMs?: number },
  ): void {
    if (ticket.startedAtMs === undefined) return;
    const serviceMs = end.nowMs - ticket.startedAtMs;
    this.#serviceMs += (serviceMs - this.#serviceMs) * SMOOTHING;
    const { firstTokenMs = this.#firstTokenMs } = end;
    this.#firstTokenMs += (firstTokenMs - this.#firstTokenMs) * SMOOTHING;
    ticket.startedAtMs = undefined;
    this.#running -= 1;
  }

  /** Removes a waiting request; returns whether it was waiting. */
  cancel(ticket: SlotTicket): boolean {
    return this.#queue.remove(ticket);
  }

  /**
   * Returns the latest time at which a request can start and still meet its
   * deadline.
   */
  findLatestStart(ticket: SlotTicket): number {
    return ticket.deadlineAtMs - this.#firstTokenMs;
  }

  #hasFreeSlot(): boolean {
    return this.#running < this.#options.slotCount();
  }

  #createTicket(request: SlotRequest): SlotTicket {
    const { organisationName, weight, priority, deadlineAtMs } = request;
    return {
      ticketId: this.#nextTicketId++,
      organisationName,
      weight,
      priority,
      deadlineAtMs,
      startedAtMs: undefined,
    };
  }

  #start(ticket: SlotTicket, nowMs: number): SlotTicket {
    this.#running += 1;
    ticket.startedAtMs = nowMs;
    return ticket;
  }

  /** Estimates the wait of a new request behind those that precede it. */
  #estimateWait(request: SlotRequest): number {
    const msPerSlot = this.#serviceMs / Math.max(1, this.#options.slotCount());
    return (this.#queue.countAhead(request) + 1) * msPerSlot;
  }
}

function createRefusal(reason: string, waitMs: number): AdmissionRefused {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  return new AdmissionRefused({
    reason: "overloaded",
    retryAfterMs,
    message: `${reason}; retry after ${retryAfterMs} ms`,
  });
}
