import type {
  AdmissionEnd,
  AdmissionQueueOptions,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionTicket,
} from "./admission_ticket.ts";
import { CompletionStats } from "./completion_stats.ts";
import { ConcurrencyLimit, type OwnDemand } from "./concurrency_limit.ts";
import { returnTimeMs } from "./return_time.ts";
import { TenantShares, type TenantUse } from "./tenant_shares.ts";
import {
  canMeetTarget,
  compareWaiting,
  latestStartMs,
} from "./waiting_order.ts";

/**
 * Time without a start, an end or a word on the load, after which one more
 * request is sent, so that a lost signal can't leave replicas idle.
 */
const PROBE_MS = 500;
/**
 * Factor on the limit for requests that can be in time. They overtake late
 * ones in the queues of the instances, where a place is free sooner than here.
 */
const IN_TIME_FACTOR = 1.25;
/** Requests sent for each one that can only be late. */
const SENT_PER_LATE = 10;
/** Time of in-time requests only, after which a late one gets its turn. */
const LATE_AFTER_MS = 1_000;
/** Time before its latest start in which a late request may have its turn. */
const URGENT_MS = 300;

/** Requests of a process for one model: in progress, and waiting in order. */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #limit = new ConcurrencyLimit();
  readonly #stats = new CompletionStats();
  readonly #uses = new Map<string, TenantUse>();
  readonly #waiting = new Set<AdmissionTicket>();
  #inProgress = 0;
  #toldAtMs = Number.NEGATIVE_INFINITY;
  #lateStartedAtMs = Number.NEGATIVE_INFINITY;
  #startsSinceLate = 0;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
  }

  get demand(): OwnDemand {
    return { inProgress: this.#inProgress, waiting: this.#waiting.size };
  }

  limitAt(nowMs: number): number {
    return this.#limit.valueAt(nowMs);
  }

  isInForce(nowMs: number): boolean {
    return this.#limit.isInForce(nowMs);
  }

  /** Counts a request as in progress that doesn't wait. */
  startAtOnce(request: AdmissionRequest, nowMs: number): AdmissionTicket {
    const ticket = createTicket(request, nowMs);
    this.#start(ticket, nowMs);
    return ticket;
  }

  /** Lets a request wait, or refuses it if it can't be sent in time. */
  offer(request: AdmissionRequest, nowMs: number): AdmissionTicket {
    const ticket = createTicket(request, nowMs);
    const { usual } = this.#stats;
    const isInTime = canMeetTarget(request, usual, nowMs);
    if (this.#waiting.size === 0 && this.#mayStart(isInTime, nowMs)) {
      this.#start(ticket, nowMs);
      return ticket;
    }
    const expectedStartMs = this.#expectedStartMs(ticket, nowMs);
    if (nowMs + expectedStartMs > latestStartMs(request, usual)) {
      this.#refuse(ticket, { reason: "no-time", expectedStartMs, nowMs });
      return ticket;
    }
    this.#waiting.add(ticket);
    this.#useOf(request.tenant).waiting += 1;
    return ticket;
  }

  /** Ends a request, in whatever state it is. */
  end(ticket: AdmissionTicket, end: AdmissionEnd, nowMs: number): void {
    const { state, startedAtMs } = ticket;
    ticket.state = "ended";
    if (state === "waiting") this.#removeWaiting(ticket);
    if (state !== "started") return;
    this.#toldAtMs = nowMs;
    this.#inProgress -= 1;
    this.#useOf(ticket.request.tenant).inProgress -= 1;
    this.#forgetUnused(ticket.request.tenant);
    if (!end.isServed) return;
    this.#stats.note({
      startedAtMs: startedAtMs!,
      ...(end.firstByteAtMs === undefined
        ? {}
        : { firstByteAtMs: end.firstByteAtMs }),
      endedAtMs: nowMs,
      isLate: ticket.isLate ?? false,
    });
  }

  /** Takes note of waiting requests or a rejection at a head. */
  noteCongested(nowMs: number): void {
    this.#toldAtMs = nowMs;
    this.#limit.noteCongested(this.demand, nowMs);
  }

  /** Takes note of a head's free slots, as a part of all it has. */
  noteFree(freePart: number, nowMs: number): void {
    this.#toldAtMs = nowMs;
    this.#limit.noteFree(freePart, this.demand, nowMs);
  }

  /** Sends and refuses what it is time for; returns those requests. */
  advance(nowMs: number): readonly AdmissionTicket[] {
    const settled: AdmissionTicket[] = [];
    const { usual } = this.#stats;
    for (const ticket of this.#waiting) {
      if (nowMs <= latestStartMs(ticket.request, usual)) continue;
      this.#removeWaiting(ticket);
      this.#refuse(ticket, { reason: "time-over", expectedStartMs: 0, nowMs });
      settled.push(ticket);
    }
    // Looks for the next one only where at least one in time could be sent.
    while (this.#waiting.size > 0 && this.#mayStart(true, nowMs)) {
      const next = this.#pickNext(nowMs);
      const isInTime = canMeetTarget(next.request, usual, nowMs);
      if (!this.#mayStart(isInTime, nowMs)) break;
      this.#removeWaiting(next);
      this.#start(next, nowMs);
      settled.push(next);
    }
    return settled;
  }

  #mayStart(isInTime: boolean, nowMs: number): boolean {
    const limit = this.#limit.valueAt(nowMs) * (isInTime ? IN_TIME_FACTOR : 1);
    // Rounds the limit to the nearest integer.
    if (this.#inProgress + 0.5 <= limit) return true;
    const room = this.#options.headOccupancy(nowMs);
    // Without heads there is nothing to wait for; the caller is told so.
    if (room === "no-heads") return true;
    if (this.#inProgress <= 1 && room === "all-free") return true;
    return nowMs - this.#toldAtMs >= PROBE_MS;
  }

  #pickNext(nowMs: number): AdmissionTicket {
    const shares = this.#createShares();
    const isBefore = this.#createOrder(shares, nowMs);
    const late = this.#pickUrgentLate(shares, nowMs);
    if (late !== undefined) return late;
    return [...this.#waiting].reduce((best, ticket) =>
      isBefore(ticket, best) ? ticket : best
    );
  }

  /** A late request that has waited for long enough behind others. */
  #pickUrgentLate(
    shares: TenantShares,
    nowMs: number,
  ): AdmissionTicket | undefined {
    const isTurn = this.#startsSinceLate >= SENT_PER_LATE - 1 &&
      nowMs - this.#lateStartedAtMs >= LATE_AFTER_MS;
    if (!isTurn) return undefined;
    const { usual } = this.#stats;
    const startMs = ({ request }: AdmissionTicket) =>
      latestStartMs(request, usual);
    const use = ({ request }: AdmissionTicket) =>
      shares.excessOf(request.tenant);
    return [...this.#waiting]
      .filter((ticket) =>
        !canMeetTarget(ticket.request, usual, nowMs) &&
        startMs(ticket) - nowMs <= URGENT_MS
      )
      .sort((a, b) => use(a) - use(b) || startMs(a) - startMs(b))[0];
  }

  #createShares(): TenantShares {
    return new TenantShares({
      totals: this.#options.tenantTotals(),
      uses: this.#uses,
    });
  }

  #createOrder(
    shares: TenantShares,
    nowMs: number,
  ): (a: AdmissionTicket, b: AdmissionTicket) => boolean {
    const { usual } = this.#stats;
    return ({ request: a }, { request: b }) => {
      const excess = shares.excessOf(a.tenant) - shares.excessOf(b.tenant);
      if (excess !== 0) return excess < 0;
      const isInTime = canMeetTarget(a, usual, nowMs);
      if (isInTime !== canMeetTarget(b, usual, nowMs)) return isInTime;
      const isWithin = shares.isWithin(a.tenant);
      if (isWithin !== shares.isWithin(b.tenant)) return isWithin;
      return compareWaiting(a, b, { usual, nowMs }) < 0;
    };
  }

  #expectedStartMs(ticket: AdmissionTicket, nowMs: number): number {
    const isBefore = this.#createOrder(this.#createShares(), nowMs);
    let ahead = 0;
    for (const other of this.#waiting) {
      if (!isBefore(ticket, other)) ahead += 1;
    }
    return (ahead + 1) * this.#stats.gapMs(this.#inProgress, nowMs);
  }

  #start(ticket: AdmissionTicket, nowMs: number): void {
    ticket.state = "started";
    ticket.startedAtMs = nowMs;
    this.#inProgress += 1;
    this.#useOf(ticket.request.tenant).inProgress += 1;
    this.#toldAtMs = nowMs;
    ticket.isLate = !canMeetTarget(ticket.request, this.#stats.usual, nowMs);
    if (!ticket.isLate) {
      this.#startsSinceLate += 1;
    } else {
      this.#startsSinceLate = 0;
      this.#lateStartedAtMs = nowMs;
    }
  }

  #refuse(
    ticket: AdmissionTicket,
    { reason, expectedStartMs, nowMs }: {
      readonly reason: AdmissionRefusal["reason"];
      readonly expectedStartMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { request } = ticket;
    const spareMs = latestStartMs(request, this.#stats.usual) - nowMs;
    ticket.state = "refused";
    ticket.refusal = {
      reason,
      retryAfterMs: returnTimeMs({
        requestId: request.requestId,
        roomMs: expectedStartMs - spareMs,
        remainingMs: request.deadlineAtMs - nowMs,
        wasRefused: request.wasRefused,
      }),
      limit: this.#limit.valueAt(nowMs),
      ...this.demand,
      expectedStartMs,
    };
  }

  #removeWaiting(ticket: AdmissionTicket): void {
    if (!this.#waiting.delete(ticket)) return;
    this.#useOf(ticket.request.tenant).waiting -= 1;
    this.#forgetUnused(ticket.request.tenant);
  }

  #useOf(tenant: string): TenantUse {
    let use = this.#uses.get(tenant);
    if (use === undefined) {
      use = { inProgress: 0, waiting: 0 };
      this.#uses.set(tenant, use);
    }
    return use;
  }

  #forgetUnused(tenant: string): void {
    const use = this.#uses.get(tenant);
    if (use !== undefined && use.inProgress === 0 && use.waiting === 0) {
      this.#uses.delete(tenant);
    }
  }
}

function createTicket(
  request: AdmissionRequest,
  nowMs: number,
): AdmissionTicket {
  return { request, offeredAtMs: nowMs, state: "waiting" };
}
